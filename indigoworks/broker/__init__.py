"""Brokers: one gateway for each service and zone, which grants server slots to all gateways.

Brokers place requests without a key in a large group, see PeerDirectory.has_many, and all requests
to servers with a rate limit. While gateways disagree on the broker a server can get more requests
than it has slots. Brokers also grant the locks of suspect requests.
"""
