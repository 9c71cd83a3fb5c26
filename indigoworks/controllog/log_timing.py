"""Durations and bounds of the control log."""

from dataclasses import dataclass

from indigoworks.common.lease_bounds import MAX_CLOCK_DRIFT


@dataclass(frozen=True)
class LogTiming:
    """Durations in seconds, unless the name says otherwise.

    :ivar lease_s: a challenger waits so long, on its clock, for a change of the leader's row.
    :ivar renewal_s: the leader writes its row at least so often. What it still holds when the
        store fails, `lease_s` less this, bridges an outage.
    :ivar store_silence_s: a leader whose last write is older takes it that it cannot commit.
    :ivar retry_s: pause before a call to the store is repeated.
    :ivar read_interval_s: pause between two reads of the leader's row by a node out of touch.
    :ivar hold_s: longest time for which the leader holds a follower's request.
    :ivar call_timeout_s: how long a follower waits for an answer, the hold included.
    :ivar member_silence_s: a follower that has not asked for so long counts as gone.
    :ivar give_up_s: longest time that a planned stop spends on giving the row up.
    :ivar batch_bytes: bytes of commands after which a batch is full.
    :ivar ring_rows: rows that batches are written to in turn; a checkpoint frees them all.
    :ivar kept_entries: entries kept in memory for followers.
    :ivar reply_bytes: bytes of entries after which an answer to a follower is full.
    """

    lease_s: float = 4.0
    renewal_s: float = 0.5
    store_silence_s: float = 0.7
    retry_s: float = 0.1
    read_interval_s: float = 0.25
    long_poll_s: float = 0.15
    call_timeout_s: float = 0.4
    member_timeout_s: float = 2.0
    resign_timeout_s: float = 2.0
    batch_bytes: int = 256 * 1024
    ring_rows: int = 16
    kept_entries: int = 512
    reply_bytes: int = 1024 * 1024

    @property
    def holding_s(self) -> float:
        """Return for how long a leader acts from before it sent a write of its row.

        Its clock may be slow and a challenger's fast, each by the whole bound.
        """
        return self.lease_s * (1 - 2 * MAX_CLOCK_DRIFT)
