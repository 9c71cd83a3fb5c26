"""Brokers: for each service and zone one gateway grants server slots to all gateways, so that it
alone knows how many requests a server has.
"""
