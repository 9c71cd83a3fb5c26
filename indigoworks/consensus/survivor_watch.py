"""Survivors of an ended generation that hold more than this node."""

from collections.abc import Iterable

from indigoworks.common.clock import Clock
from indigoworks.consensus.consensus_timing import ConsensusTiming
from indigoworks.consensus.log_position import LogPosition
from indigoworks.wire.control_pb2 import IdentityReply


class SurvivorWatch:
    """Holds this node back while another one with a longer log may form the next generation."""

    def __init__(self, clock: Clock, timing: ConsensusTiming) -> None:
        self._clock = clock
        self._timing = timing
        self._first_seen_s: float | None = None
        self._last_seen_s = float("-inf")

    def clear(self) -> None:
        """Start over."""
        self._first_seen_s = None

    def observe(self, generation: int, own: LogPosition, answers: Iterable[IdentityReply]) -> None:
        """Take one round of answers.

        :param own: how far this node's log, or the row that it would start from, reaches.
        """
        is_seen = any(
            LogPosition(answer.last_log_term, answer.last_log_index) > own
            for answer in answers
            if answer.generation == generation
        )
        if not is_seen:
            return
        now_s = self._clock.now()
        if not self._is_near(now_s):
            self._first_seen_s = now_s
        self._last_seen_s = now_s

    def has_precedence(self, ended_for_s: float) -> bool:
        """Tell whether such a survivor was seen lately and has not had time enough to act.

        It may have come in touch only just now and may have seen less of the machine list, so its
        own waits count from now on.

        :param ended_for_s: for how long the generation is known to have ended.
        """
        now_s = self._clock.now()
        if self._first_seen_s is None or not self._is_near(now_s):
            return False
        timing = self._timing
        waits_s = timing.every_lease_s + timing.machine_list_lag_s
        needed_s = waits_s + timing.survivor_precedence_s
        return min(now_s - self._first_seen_s, ended_for_s) < needed_s

    def _is_near(self, now_s: float) -> bool:
        if self._first_seen_s is None:
            return False
        return now_s - self._last_seen_s < self._timing.survivor_precedence_s
