"""When this process last had proof that it leads."""

from collections.abc import Callable

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.rowstore.errors import ConditionFailed, StoreError, StoreUnreachable


class ProofRecord:
    """The newest time at which this process certainly led.

    A condition that fails on rows which only a leader writes shows that its view of them is wrong.
    It acts no more until newer rows show that it still leads, unless a write of its own explains
    the failure: one that was not answered may have been applied.

    :param is_named: returns whether the newest known leader row names this process.
    :ivar on_conflict: called after each conflict, to read the rows again.
    """

    def __init__(self, is_named: Callable[[], bool], clock: Clock) -> None:
        self._is_named = is_named
        self._clock = clock
        self._proof_s: float | None = None
        self._conflict_s = float("-inf")
        self._unanswered_write_s: float | None = None
        self.on_conflict: Callable[[], None] = lambda: None

    @property
    def is_known(self) -> bool:
        """Return whether there is a proof, of any age."""
        return self._proof_s is not None

    def record(self, true_at_s: float) -> None:
        """Record that the leader row, as it is known here, was the newest at `true_at_s`."""
        if not self._is_named() or true_at_s < self._conflict_s:
            return
        if self._proof_s is None or true_at_s > self._proof_s:
            self._proof_s = true_at_s
        written_s = self._unanswered_write_s
        if written_s is not None and written_s <= self._conflict_s:
            # These rows show whether that write was applied: it explains no other conflict.
            self._unanswered_write_s = None

    def record_failed_write(self, error: StoreError, epoch: int) -> None:
        """Record that the store did not confirm a write of rows that only a leader writes."""
        if isinstance(error, ConditionFailed):
            self._record_conflict(epoch)
        elif isinstance(error, StoreUnreachable):
            self._unanswered_write_s = self._clock.now()

    def _record_conflict(self, epoch: int) -> None:
        """Record a failed condition; proofs that were true before it are not accepted any more."""
        is_explained = self._unanswered_write_s is not None
        log_message(
            message_type="leader:conflict", level="WARNING", epoch=epoch, is_explained=is_explained
        )
        self._conflict_s = self._clock.now()
        if not is_explained:
            self._proof_s = None
        self.on_conflict()

    def discard(self) -> None:
        """Discard the proof: another process may lead."""
        self._proof_s = None

    def age_s(self) -> float:
        """Return the age of the proof; infinity: there is none."""
        if self._proof_s is None or not self._is_named():
            return float("inf")
        return self._clock.now() - self._proof_s
