"""What happens to a server in a scenario."""

from dataclasses import dataclass
from enum import StrEnum


class ServerEventKind(StrEnum):
    """Kinds of events."""

    LOSS = "loss"
    """The machine is gone; nobody hears from it any more."""

    LEAVE = "leave"
    """A planned stop: the server asks to be emptied and ends 5 s later."""

    JOIN = "join"
    """One more server, which starts cold."""


@dataclass(frozen=True)
class ServerEvent:
    """One event.

    :ivar at_s: moment, in seconds since the load began.
    :ivar number: which of the service's servers, from 0; of no meaning for JOIN.
    """

    kind: ServerEventKind
    service: str
    at_s: float
    number: int = 0
