"""Kinds of requests that callers send while gateways lose their path."""

from enum import Enum


class PathRequestKind(Enum):
    """Method, key and body of a request."""

    KEYED = "keyed"
    SAFE = "safe"
    UNSAFE = "unsafe"
    LARGE = "large"
    """Unsafe, with a body of some ten thousand bytes."""
    SLOW = "slow"
    """Unsafe, with a body that arrives in pieces."""
    LEAVES = "leaves"
    """Safe; the caller closes its connection before the answer."""

    @property
    def is_safe(self) -> bool:
        """Return whether the request may run more than once."""
        return self in (PathRequestKind.KEYED, PathRequestKind.SAFE, PathRequestKind.LEAVES)
