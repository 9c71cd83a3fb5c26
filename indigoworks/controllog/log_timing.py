"""Timeouts and size limits of the control log."""

from dataclasses import dataclass

from indigoworks.common.lease_bounds import MAX_CLOCK_DRIFT


@dataclass(frozen=True)
class LogTiming:
    """Durations in seconds, unless the name says otherwise.

    :ivar lease_s: time without a change of the leader's row, by its own clock, after which a
        challenger may claim leadership.
    :ivar renewal_s: longest time between two writes of the leader's row. A leader survives an
        outage of the store of `lease_s` less this.
    :ivar store_silence_s: age of its last write after which a leader reports that it cannot commit.
    :ivar retry_s: delay before a call to the store is retried.
    :ivar read_interval_s: delay between two reads of the leader's row by a node that has no
        connection to the leader.
    :ivar long_poll_s: longest time for which the leader holds a follower's request.
    :ivar call_timeout_s: timeout of a follower's request, which includes `long_poll_s`.
    :ivar member_timeout_s: time without a request after which a follower counts as gone.
    :ivar resign_timeout_s: longest time that a planned stop spends on resigning.
    :ivar batch_bytes: bytes of commands after which a batch is full.
    :ivar ring_rows: rows to which batches are written in turn; a checkpoint frees them all.
    :ivar kept_entries: entries kept in memory for followers.
    :ivar reply_bytes: bytes of entries after which a reply to a follower is full.
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
        """Return the seconds for which a leader may act, from when it sent a write of its row.

        Its clock may be slow and a challenger's fast, each by MAX_CLOCK_DRIFT.
        """
        return self.lease_s * (1 - 2 * MAX_CLOCK_DRIFT)
