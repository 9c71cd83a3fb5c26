"""One request as its caller saw it."""

from dataclasses import dataclass


@dataclass(slots=True)
class CallRecord:
    """Times are virtual, in seconds since the run began.

    :ivar is_surplus: it belongs to a stream beside the calm load.
    :ivar due_s: moment of the arrival; latencies count from it.
    :ivar outcome: "completed", "not-run", "unknown", or "" while there is no answer.
    :ivar error: kind of the error; empty where the request was completed or no kind was given.
    """

    request_id: str
    service: str
    group: str
    is_read: bool
    is_surplus: bool
    due_s: float
    answered_s: float = 0.0
    outcome: str = ""
    error: str = ""

    @property
    def is_completed(self) -> bool:
        """Tell whether the caller got its answer."""
        return self.outcome == "completed"

    @property
    def latency_s(self) -> float:
        """Seconds from the arrival to the answer."""
        return self.answered_s - self.due_s
