"""One entry of the execution history of a stand-in back end."""

from dataclasses import dataclass

from indigoworks_lab.backend.execution_outcome import ExecutionOutcome


@dataclass(frozen=True)
class ExecutionRecord:
    """One request as the server saw it. Times are readings of the server's monotonic clock.

    :ivar started_s: when the request got its slot; equal to `ended_s` where it got none.
    :ivar ended_s: when its effect took place, in the same step as the last ownership check;
        for requests that did not run, when that was decided.
    """

    request_id: str
    server: str
    incarnation: str
    service: str
    key: bytes
    method: str
    token: int
    started_s: float
    ended_s: float
    outcome: ExecutionOutcome
