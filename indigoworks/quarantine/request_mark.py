"""Mark of a request: a 128-bit fingerprint of its content."""

from dataclasses import dataclass, replace
from hashlib import blake2b

from indigoworks.quarantine.request_content import RequestContent

DIGEST_BYTES = 8
"""Size of each of the two digests; 64 bits rule out a second preimage in practice."""


@dataclass(frozen=True, slots=True)
class RequestMark:
    """Two digests of a content, so that a body is hashed only if the rest is already known.

    :ivar head: 64-bit digest of caller, method, host and target.
    :ivar body: 64-bit digest of the body.
    """

    head: int
    body: int

    @property
    def short(self) -> int:
        """Return both digests combined in 64 bits."""
        return self.head ^ self.body

    def __str__(self) -> str:
        return f"{self.head:016x}-{self.body:016x}"


def head_of(content: RequestContent) -> int:
    """Return the digest of everything except the body."""
    parts = (content.caller, content.method, content.host, content.target)
    return _digest("\0".join(parts).encode("utf-8", "surrogateescape"))


def body_of(content: RequestContent) -> int:
    """Return the digest of the body."""
    return _digest(content.body)


def mark_of(content: RequestContent) -> RequestMark:
    """Return the mark of the content."""
    return RequestMark(head_of(content), body_of(content))


@dataclass(frozen=True, slots=True)
class MarkedRequest:
    """A content and its mark; the body is left out, as the mark stands for it."""

    content: RequestContent
    mark: RequestMark


def mark_scopes(content: RequestContent) -> tuple[MarkedRequest, ...]:
    """Return what a crash under a request counts against."""
    body = body_of(content)
    return tuple(
        MarkedRequest(replace(each, body=b""), RequestMark(head_of(each), body))
        for each in content.scopes()
    )


def _digest(data: bytes) -> int:
    return int.from_bytes(blake2b(data, digest_size=DIGEST_BYTES).digest(), "big")
