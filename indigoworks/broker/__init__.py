"""Brokers: one gateway for each service and zone, which grants server slots to all gateways.

As all requests to a server pass through one count, its slots and its rate limit are kept. Brokers
also grant the locks of suspect requests.
"""
