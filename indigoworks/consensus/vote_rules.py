"""Which log a candidate must have."""

from indigoworks.consensus.log_position import LogPosition
from indigoworks.consensus.replicated_log import ReplicatedLog
from indigoworks.wire.control_pb2 import VoteRequest


def is_log_up_to_date(own: ReplicatedLog, request: VoteRequest) -> bool:
    """Tell whether the candidate's log holds at least what the own log may have committed."""
    return LogPosition(request.last_log_term, request.last_log_index) >= own.position
