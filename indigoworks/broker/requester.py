"""A gateway that requests slots or locks from a broker."""

from collections.abc import Callable
from dataclasses import dataclass

from indigoworks.broker.slot_reply import SlotReply


@dataclass(frozen=True, slots=True)
class Requester:
    """One gateway process, identified by its boot id.

    :ivar send_reply: sends it a reply.
    """

    boot: str
    send_reply: Callable[[SlotReply], None]
