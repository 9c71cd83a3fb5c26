"""Ports to the back ends (lease and grants, requests) and their HTTP adapters."""
