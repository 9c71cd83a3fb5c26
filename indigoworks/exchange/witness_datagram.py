"""Datagrams between a leader, its witnesses and its successor."""

from dataclasses import dataclass

from indigoworks.exchange.open_grants import OpenGrants
from indigoworks.exchange.process_id import ProcessId


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """A witness keeps the record `number` of `epoch`, or a newer one."""

    epoch: int
    number: int


@dataclass(frozen=True, slots=True)
class FenceRequest:
    """A successor asks a witness to acknowledge nothing more of `epoch` or an earlier one."""

    epoch: int


@dataclass(frozen=True, slots=True)
class FenceReply:
    """A witness acknowledges nothing more of `epoch`.

    :ivar grants: the newest record of that epoch, aged until now; None: the witness has none.
    """

    epoch: int
    grants: OpenGrants | None


WitnessMessage = OpenGrants | Acknowledgement | FenceRequest | FenceReply


@dataclass(frozen=True, slots=True)
class WitnessDatagram:
    """A message with its sender.

    :ivar target_boot: boot of the receiver; another run of its node ignores the datagram.
    """

    sender: ProcessId
    target_boot: str
    content: WitnessMessage
