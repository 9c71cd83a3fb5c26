"""A gateway that asks a broker for slots."""

from collections.abc import Callable
from dataclasses import dataclass

from indigoworks.broker.slot_reply import SlotReply


@dataclass(frozen=True, slots=True)
class Asker:
    """One boot of a gateway.

    :ivar reply: sends it a reply.
    """

    boot: str
    reply: Callable[[SlotReply], None]
