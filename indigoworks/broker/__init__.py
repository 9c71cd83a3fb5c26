"""Brokers: one gateway for each service and zone, which grants server slots to all gateways.

Brokers place requests without a key in a large group, see PeerDirectory.has_many, and all requests
to servers with a rate limit. While gateways disagree on the broker a server can get more requests
than it has slots. While no broker answers, gateways place requests from their own data, except to
servers with a rate limit. Brokers also grant the locks of suspect requests, that is of requests
during which a server crashed or may have crashed.

A group is here either that of all gateways, which is small or large, or, in slot requests, the
callers that are charged together.
"""
