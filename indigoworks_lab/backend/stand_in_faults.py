"""Faults that a stand-in back end can be told to have."""

from dataclasses import dataclass


@dataclass(frozen=True)
class StandInFaults:
    """Faults in force until they are replaced.

    :ivar lose_answers_ratio: share of requests that run and whose answer is never sent.
    :ivar cut_answers_ratio: share of requests that run and whose answer ends half way.
    :ivar slow_factor: factor on the service time.
    :ivar lies_about_health: `/health` says healthy whatever the state.
    :ivar lies_about_load: `/load` says idle whatever the state.
    :ivar forgets_token_check: takes a request under any token; shows that checkers notice.
    :ivar releases_while_running: reports a range as released while requests still run on it.
    :ivar ends_under: the process ends as soon as it begins to run a request whose path holds this
        text; empty: under none.
    :ivar forgets_lease_check: serves after the lease has lapsed; shows that checkers notice.
    """

    lose_answers_ratio: float = 0.0
    cut_answers_ratio: float = 0.0
    slow_factor: float = 1.0
    lies_about_health: bool = False
    lies_about_load: bool = False
    forgets_token_check: bool = False
    forgets_lease_check: bool = False
    releases_while_running: bool = False
    ends_under: str = ""
