"""Forwarding of requests to a gateway that reaches the servers."""
