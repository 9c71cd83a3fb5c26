"""Sizes that the system passes on, whatever the settings tree allows."""

MAX_BODY_BYTES = 15 * 1024 * 1024
"""Largest body of a request or answer; it must fit a frame of the internal protocol."""
