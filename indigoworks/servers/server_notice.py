"""What a server says of itself in the head of an answer."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServerNotice:
    """What one answer asks of those who send requests, whatever else it holds.

    :ivar rest_s: seconds for which the server wants no request from this process; 0: it asks for
        no rest.
    :ivar is_leaving: the server is about to end.
    :ivar unreadable: text of a wish that cannot be read; empty: there is none.
    """

    rest_s: float = 0.0
    is_leaving: bool = False
    unreadable: str = ""


NOTHING_ASKED = ServerNotice()
"""The notice of nearly every answer."""
