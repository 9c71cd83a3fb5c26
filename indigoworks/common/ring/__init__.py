"""The key space of a service: hashing, ranges and the read-only table of their owners."""
