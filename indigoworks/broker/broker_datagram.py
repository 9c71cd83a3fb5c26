"""Datagram between a gateway and a broker."""

from dataclasses import dataclass

from indigoworks.broker.doubt_notice import DoubtNotice
from indigoworks.broker.slot_release import SlotRelease
from indigoworks.broker.slot_reply import SlotReply
from indigoworks.broker.slot_request import SlotRequest

BrokerMessage = SlotRequest | SlotReply | SlotRelease | DoubtNotice


@dataclass(frozen=True, slots=True)
class BrokerDatagram:
    """A message with the node name and boot id of the gateway that sent it."""

    node: str
    boot: str
    content: BrokerMessage
