"""A gateway that asks a broker for slots."""

from collections.abc import Callable
from dataclasses import dataclass

from indigoworks.broker.slot_reply import SlotReply


@dataclass(frozen=True, slots=True)
class Requester:
    """One boot of a gateway.

    :ivar reply: sends it a reply.
    """

    boot: str
    send_reply: Callable[[SlotReply], None]
