"""One epoch of leadership."""

import asyncio
from collections.abc import Sequence

from eliot import log_message
from result import Err, Ok, Result

from indigoworks.common.clock import Clock
from indigoworks.controllog.errors import ControlLogError, not_leader, outcome_unknown
from indigoworks.controllog.log_replica import LogReplica
from indigoworks.controllog.log_rows import LogRows
from indigoworks.controllog.log_timing import LogTiming
from indigoworks.controllog.pending_command import PendingCommand
from indigoworks.controllog.stored_leader import StoredLeader
from indigoworks.platform.errors import PlatformRateLimited, PlatformUnavailable
from indigoworks.platform.row_write import RowWrite
from indigoworks.wire.control_pb2 import Command, LeaderRow, LogBatch, LogEntry


class LeaderTenure:
    """Renews the leader's row and commits through it, one write after the other.

    Once it was seen over it stays over: the node takes a new epoch before it acts again.

    :ivar version: version of the leader's row that this epoch wrote last.
    :ivar is_established: everything committed before this epoch is applied here.
    """

    def __init__(
        self,
        replica: LogReplica,
        rows: LogRows,
        clock: Clock,
        timing: LogTiming,
        taken: StoredLeader,
        sent_at_s: float,
    ) -> None:
        self.epoch = taken.row.epoch
        self.version = taken.version
        self.is_established = False
        self._replica = replica
        self._rows = rows
        self._clock = clock
        self._timing = timing
        self._row = taken.row
        self._written_at_s = sent_at_s
        self._is_over = False
        self._is_stopping = False
        self._pending: list[PendingCommand] = []
        self._wake = asyncio.Event()

    def is_running(self) -> bool:
        """Tell whether the lease runs, on the own clock, at this moment."""
        if self._clock.now() >= self._written_at_s + self._timing.holding_s:
            self._is_over = True
        return not self._is_over

    def holds_lease(self) -> bool:
        """Tell whether nobody else can lead and all that was committed is applied here."""
        return self.is_established and self.is_running()

    def can_commit(self) -> bool:
        """Tell whether the store has taken a write within the last moments."""
        age_s = self._clock.now() - self._written_at_s
        return self.holds_lease() and age_s < self._timing.store_silence_s

    async def propose(self, command: Command) -> Result[int, ControlLogError]:
        """Commit a command; see `ControlLogNode.propose`."""
        if self._is_stopping or not self.holds_lease():
            return Err(not_leader(None))
        pending = PendingCommand(command)
        self._pending.append(pending)
        self._wake.set()
        return await pending.outcome

    async def run(self) -> None:
        """Lead until the lease is lost, or given up after `stop`."""
        try:
            while self.is_running() and not await self._rows.catch_up(self._replica, self._row):
                await self._clock.sleep(self._timing.retry_s)
            # An entry of its own, so that its first index lies above all that earlier leaders had.
            self._pending.append(PendingCommand(Command()))
            while self.is_running() and self._pending:
                await self._write_next()
            self.is_established = self.is_running()
            self._replica.changed.notify()
            while self.is_running() and not self._is_stopping:
                await self._write_next()
            if self.is_running():
                await self._give_up()
        finally:
            self._end()

    def stop(self) -> None:
        """Take no further command, and give the row up after the write in progress."""
        self._is_stopping = True
        self._wake.set()

    async def _write_next(self) -> None:
        """Wait for commands or for the renewal, and write."""
        if not self._pending:
            await self._wait_until_due()
            if self._is_stopping:
                return
        row = LeaderRow()
        row.CopyFrom(self._row)
        if row.last_batch - row.checkpoint_batch >= self._timing.ring_rows:
            await self._write_checkpoint(row)
        elif self._pending:
            await self._write_batch(row)
        else:
            await self._write(row)

    async def _wait_until_due(self) -> None:
        self._wake.clear()
        due_s = self._written_at_s + self._timing.renewal_s
        try:
            async with asyncio.timeout(max(0.0, due_s - self._clock.now())):
                await self._wake.wait()
        except TimeoutError:
            return

    async def _write_checkpoint(self, row: LeaderRow) -> None:
        checkpoint = self._rows.checkpoint_write(self._replica, row.checkpoint_version)
        row.checkpoint_batch = row.last_batch
        row.checkpoint_version += 1
        await self._write(row, [checkpoint])

    async def _write_batch(self, row: LeaderRow) -> None:
        taken = self._take_pending()
        batch = LogBatch(number=row.last_batch + 1)
        for number, pending in enumerate(taken, start=row.last_index + 1):
            entry = LogEntry(index=number, term=self.epoch, command=pending.command)
            batch.entries.append(entry)
        row.last_batch = batch.number
        row.last_index += len(taken)
        try:
            is_committed = await self._write(row, [self._rows.batch_write(batch)])
            if is_committed:
                self._replica.batch = batch.number
                self._replica.apply(batch.entries)
                for pending, entry in zip(taken, batch.entries, strict=True):
                    pending.settle(Ok(entry.index))
        finally:
            for pending in taken:
                pending.settle(Err(outcome_unknown()))

    def _take_pending(self) -> Sequence[PendingCommand]:
        """Take commands up to the size of a batch, and at least one."""
        count, size = 1, self._pending[0].command.ByteSize()
        while count < len(self._pending):
            size += self._pending[count].command.ByteSize()
            if size > self._timing.batch_bytes:
                break
            count += 1
        taken, self._pending = self._pending[:count], self._pending[count:]
        return taken

    async def _write(self, row: LeaderRow, others: Sequence[RowWrite] = ()) -> bool:
        """Write until it is known to stand; False once the lease is over.

        A write without an answer may still take effect. Until that is settled the very same write
        is repeated and nothing else is written.
        """
        doubtful_since_s: float | None = None
        while self.is_running():
            sent_at_s = self._clock.now()
            written = await self._rows.write(row, self.version, others)
            if written.is_ok():
                return self._note_written(row, sent_at_s)
            error = written.unwrap_err()
            if not isinstance(error, PlatformUnavailable | PlatformRateLimited):
                doubtful_since_s = sent_at_s if doubtful_since_s is None else doubtful_since_s
                stands = await self._stands(row)
                if stands is not None:
                    return stands and self._note_written(row, doubtful_since_s)
            # A store that limits the rate says when to come back; the lease does not wait long.
            wanted_s = max(self._timing.retry_s, error.retry_after_s)
            await self._clock.sleep(min(wanted_s, self._timing.renewal_s))
        return False

    async def _stands(self, row: LeaderRow) -> bool | None:
        """Tell whether a write without an answer took effect; None: not, or not yet."""
        while self.is_running():
            read = await self._rows.read_leader()
            if read.is_ok():
                found = read.unwrap()
                if found.version == self.version:
                    return None
                is_ours = found.version == self.version + 1 and found.row == row
                self._is_over = self._is_over or not is_ours
                return is_ours
            await self._clock.sleep(self._timing.retry_s)
        return False

    def _note_written(self, row: LeaderRow, sent_at_s: float) -> bool:
        # A lease that ended while the write was under way is not taken up again.
        if not self.is_running():
            return False
        self._row = row
        self.version += 1
        self._written_at_s = sent_at_s
        return True

    async def _give_up(self) -> None:
        """Clear the leader's name, having stopped to act, so that a successor need not wait."""
        self._is_over = True
        row = LeaderRow()
        row.CopyFrom(self._row)
        row.ClearField("leader")
        until_s = self._clock.now() + self._timing.resign_timeout_s
        while self._clock.now() < until_s:
            written = await self._rows.write(row, self.version)
            error = written.err()
            if not isinstance(error, PlatformUnavailable | PlatformRateLimited):
                break
            await self._clock.sleep(self._timing.retry_s)
        log_message(message_type="control_log:given_up", epoch=self.epoch)

    def _end(self) -> None:
        self._is_over = True
        for pending in self._pending:
            pending.settle(Err(not_leader(None)))
        self._pending.clear()
        self._replica.changed.notify()
