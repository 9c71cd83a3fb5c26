"""Position of a key in the 64-bit key space of its service."""

import xxhash

KEY_SPACE_MAX = 2**64 - 1
"""Largest position in the key space of a service; the smallest is 0."""


def key_hash(key: bytes) -> int:
    """Return the position of `key`: xxhash64 with seed 0, from 0 to KEY_SPACE_MAX."""
    return xxhash.xxh64_intdigest(key)
