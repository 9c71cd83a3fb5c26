"""Clients that the lab's programs share: callers of routers, JSON over HTTP, polling."""
