"""Hard size limits, independent of the settings tree."""

MAX_BODY_BYTES = 15 * 1024 * 1024
"""Maximum body size of a request or response: it must fit in a frame of the internal protocol."""
