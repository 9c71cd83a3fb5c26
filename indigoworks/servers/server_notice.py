"""Notice of a server: what the headers of its response ask of senders."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class UnreadableHeader:
    """A header of a response with a malformed value."""

    name: str
    text: str


@dataclass(frozen=True, slots=True)
class ServerNotice:
    """What one response asks of senders of requests, apart from its content.

    :ivar rest_s: seconds for which the server wants no requests from this process; 0: it asks for
        no rest.
    :ivar is_leaving: the server is about to stop.
    :ivar unreadable: malformed headers, which have no effect.
    :ivar limit_per_s: requests a second that the server accepts from all gateways together; None:
        it names no limit.
    """

    rest_s: float = 0.0
    is_leaving: bool = False
    unreadable: tuple[UnreadableHeader, ...] = ()
    limit_per_s: float | None = None


NOTHING_ASKED = ServerNotice()
"""The notice of nearly every response."""
