"""Faults that the stand-in of the platform can be told to show."""

from pydantic import BaseModel, ConfigDict, Field

DEFAULT_REQUESTS_PER_S = 200.0
DEFAULT_MACHINE_LIST_LAG_S = 0.5


class PlatformFaults(BaseModel):
    """Body of POST /lab/faults. A field that is left out returns to its default.

    :ivar down: every request is refused with 503 and takes no effect.
    :ivar delay_s: seconds that a request waits before it takes effect. A caller may have given
        up by then; the request takes effect all the same.
    :ivar answer_delay_s: seconds that an answer waits after the request has taken effect.
    :ivar lose_answers_ratio: share of requests that take effect but whose connection is closed
        without an answer.
    :ivar machine_list_lag_s: age in seconds of the listed machines.
    :ivar table_requests_per_s: rate limit of the table service; 0 is none.
    :ivar object_requests_per_s: rate limit of the object store; 0 is none.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    down: bool = False
    delay_s: float = Field(default=0.0, ge=0.0, le=60.0)
    answer_delay_s: float = Field(default=0.0, ge=0.0, le=60.0)
    lose_answers_ratio: float = Field(default=0.0, ge=0.0, le=1.0)
    machine_list_lag_s: float = Field(default=DEFAULT_MACHINE_LIST_LAG_S, ge=0.0, le=600.0)
    table_requests_per_s: float = Field(default=DEFAULT_REQUESTS_PER_S, ge=0.0)
    object_requests_per_s: float = Field(default=DEFAULT_REQUESTS_PER_S, ge=0.0)
