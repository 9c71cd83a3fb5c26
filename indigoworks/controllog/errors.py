"""Errors of the control log."""

from dataclasses import dataclass
from typing import ClassVar

from indigoworks.common.errors import IndigoworksError
from indigoworks.wire.control_pb2 import Member


@dataclass(frozen=True)
class ControlLogError(IndigoworksError):
    """Base of the errors of the control log."""

    kind: ClassVar[str] = "control_log"


@dataclass(frozen=True)
class NotLeader(ControlLogError):
    """This node does not lead: the command was not appended and never takes effect."""

    kind: ClassVar[str] = "not_leader"


@dataclass(frozen=True)
class OutcomeUnknown(ControlLogError):
    """Leadership ended before the commit was confirmed: the command may still take effect."""

    kind: ClassVar[str] = "outcome_unknown"


def not_leader(leader: Member | None) -> NotLeader:
    """Return the error of a command sent to a node that does not lead.

    :param leader: the leader as far as this node knows, or None.
    """
    message = "This controller does not lead its control group."
    if leader is None:
        return NotLeader(message, "Ask again; a leader takes over as soon as it may.", 1.0)
    where = f"{leader.name} at {leader.host}:{leader.control_port}"
    return NotLeader(message, f"Send the command to the leader, {where}.", 0.2)


def outcome_unknown() -> OutcomeUnknown:
    """Return the error of a command whose commit this node could not confirm."""
    return OutcomeUnknown(
        "Leadership ended before the commit was confirmed; the command may still take effect.",
        "Read the state from the new leader before sending the command again.",
        1.0,
    )
