"""What a server says of itself in the head of an answer."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class UnreadableHeader:
    """A header of an answer whose text is no wish."""

    name: str
    text: str


@dataclass(frozen=True, slots=True)
class ServerNotice:
    """What one answer asks of those who send requests, whatever else it holds.

    :ivar rest_s: seconds for which the server wants no request from this process; 0: it asks for
        no rest.
    :ivar is_leaving: the server is about to end.
    :ivar unreadable: wishes that cannot be read: they change nothing.
    :ivar limit_per_s: requests a second that the server takes from all gateways together; None: it
        names no limit.
    """

    rest_s: float = 0.0
    is_leaving: bool = False
    unreadable: tuple[UnreadableHeader, ...] = ()
    limit_per_s: float | None = None


NOTHING_ASKED = ServerNotice()
"""The notice of nearly every answer."""
