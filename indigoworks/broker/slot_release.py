"""A slot that is given back."""

from dataclasses import dataclass

from indigoworks.servers.server_word import ServerWord


@dataclass(frozen=True, slots=True)
class SlotRelease:
    """The slot of the request `number` is free, or that request is withdrawn.

    :ivar is_served: the server worked on the caller's request and answered.
    :ivar word: what the server said of its load with the answer; None: nothing.
    :ivar has_ended_server: the server ended while it had the request in hand.
    :ivar is_unreached: no connection to the server came about.
    """

    number: int
    is_served: bool = False
    word: ServerWord | None = None
    is_unreached: bool = False
    has_ended_server: bool = False
