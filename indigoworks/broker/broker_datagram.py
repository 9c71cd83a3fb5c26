"""One datagram between a gateway and a broker."""

from dataclasses import dataclass

from indigoworks.broker.doubt_notice import DoubtNotice
from indigoworks.broker.slot_release import SlotRelease
from indigoworks.broker.slot_reply import SlotReply
from indigoworks.broker.slot_request import SlotRequest

BrokerMessage = SlotRequest | SlotReply | SlotRelease | DoubtNotice


@dataclass(frozen=True, slots=True)
class BrokerDatagram:
    """A message and the gateway that sent it, with its boot."""

    node: str
    boot: str
    content: BrokerMessage
