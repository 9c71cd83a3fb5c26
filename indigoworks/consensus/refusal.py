"""Refusals of requests that are not for this node or this generation."""

from indigoworks.wire.control_pb2 import ErrorReply, Frame


def other_incarnation() -> Frame:
    """Return the reply to a request that asks another run of this process."""
    return _refusal(
        "other_incarnation",
        "The request is for another incarnation of this process.",
        "Add the new incarnation to the group.",
    )


def older_generation(current: int) -> Frame:
    """Return the reply to a request of an ended generation."""
    return _refusal(
        "older_generation",
        f"The group has reached generation {current}.",
        "Drop the state of the older generation and join again.",
    )


def not_in_generation() -> Frame:
    """Return the reply of a node that has no state of the generation yet."""
    return _refusal(
        "no_state",
        "This node has no state of that generation.",
        "Wait until it has joined.",
    )


def withdrawn() -> Frame:
    """Return the reply of a node that has given up its part in the generation."""
    return _refusal(
        "withdrawn",
        "This node no longer takes part in that generation.",
        "Wait until the next generation is formed.",
    )


def unknown_request(payload: str) -> Frame:
    """Return the reply to a request that the agreement does not know."""
    return _refusal(
        "unknown_request",
        f"The agreement has no request {payload!r}.",
        "Run the same version on all controllers.",
    )


def other_group(group_id: int) -> Frame:
    """Return the reply to a request for a group that this node is not in."""
    return _refusal(
        "other_group",
        f"This node is not in control group {group_id}.",
        "Check group_id and the controllers' addresses in the process settings.",
    )


def _refusal(kind: str, message: str, remedy: str) -> Frame:
    return Frame(error=ErrorReply(kind=kind, message=message, remedy=remedy))
