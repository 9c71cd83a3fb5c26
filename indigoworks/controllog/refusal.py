"""Error replies to requests that this node cannot serve."""

from indigoworks.wire.control_pb2 import ErrorReply, Frame


def not_the_leader() -> Frame:
    """Return the reply to a follower's request at a node that does not lead."""
    return _refusal("not_leader", "This process does not lead.", "Read the leader's row.")


def unknown_request(payload: str) -> Frame:
    """Return the reply to a request of an unknown type."""
    return _refusal(
        "unknown_request",
        f"The control log has no request {payload!r}.",
        "Run the same version on all controllers.",
    )


def other_group(group_id: int) -> Frame:
    """Return the reply to a request for another control group."""
    return _refusal(
        "other_group",
        f"This node is not in control group {group_id}.",
        "Check group_id and the controllers' addresses in the process settings.",
    )


def _refusal(kind: str, message: str, remedy: str) -> Frame:
    return Frame(error=ErrorReply(kind=kind, message=message, remedy=remedy))
