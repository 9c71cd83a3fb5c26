"""A short name of a request's content."""

from dataclasses import dataclass
from hashlib import blake2b

from indigoworks.quarantine.request_content import RequestContent

DIGEST_BYTES = 8
"""Of each of the two: with 64 bits nobody finds another content for the mark of a given one."""


@dataclass(frozen=True, slots=True)
class RequestMark:
    """Two digests of a content, so that a body is only hashed where the rest is known already.

    :ivar head: of caller, method, host and target; 64 bits.
    :ivar body: of the body; 64 bits.
    """

    head: int
    body: int

    @property
    def short(self) -> int:
        """Return one number of 64 bits for both."""
        return self.head ^ self.body

    def __str__(self) -> str:
        return f"{self.head:016x}-{self.body:016x}"


def head_of(content: RequestContent) -> int:
    """Return the digest of all but the body."""
    parts = (content.caller, content.method, content.host, content.target)
    return _digest("\0".join(parts).encode("utf-8", "surrogateescape"))


def body_of(content: RequestContent) -> int:
    """Return the digest of the body."""
    return _digest(content.body)


def mark_of(content: RequestContent) -> RequestMark:
    """Return the mark of a content."""
    return RequestMark(head_of(content), body_of(content))


def _digest(data: bytes) -> int:
    return int.from_bytes(blake2b(data, digest_size=DIGEST_BYTES).digest(), "big")
