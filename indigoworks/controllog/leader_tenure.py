"""Leadership of one epoch."""

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
    """Renews the leader's row and commits through it, one write at a time.

    Once the lease has ended, the tenure stays over: the node needs a new epoch to lead again.

    :ivar epoch: number of this leadership; each claim of the leader's row increases it.
    :ivar version: version of the leader's row that this epoch wrote last.
    :ivar is_established: all commits of earlier epochs are applied here.
    """

    def __init__(
        self,
        replica: LogReplica,
        rows: LogRows,
        clock: Clock,
        timing: LogTiming,
        claimed: StoredLeader,
        sent_at_s: float,
    ) -> None:
        self.epoch = claimed.row.epoch
        self.version = claimed.version
        self.is_established = False
        self._replica = replica
        self._rows = rows
        self._clock = clock
        self._timing = timing
        self._row = claimed.row
        self._written_at_s = sent_at_s
        self._is_over = False
        self._is_stopping = False
        self._pending: list[PendingCommand] = []
        self._wake = asyncio.Event()

    def is_running(self) -> bool:
        """Return whether the lease is valid now, by the local clock."""
        if self._clock.now() >= self._written_at_s + self._timing.holding_s:
            self._is_over = True
        return not self._is_over

    def holds_lease(self) -> bool:
        """Return whether no other node can lead and all commits are applied here."""
        return self.is_established and self.is_running()

    def can_commit(self) -> bool:
        """Return whether the store has accepted a write within `store_silence_s`."""
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
        """Lead until the lease is lost, or until this node has resigned after `stop`."""
        try:
            while self.is_running() and not await self._rows.catch_up(self._replica, self._row):
                await self._clock.sleep(self._timing.retry_s)
            # An entry of this epoch, so that its first index is above those of earlier leaders.
            self._pending.append(PendingCommand(Command()))
            while self.is_running() and self._pending:
                await self._write_next()
            self.is_established = self.is_running()
            self._replica.changed.notify()
            while self.is_running() and not self._is_stopping:
                await self._write_next()
            if self.is_running():
                await self._resign()
        finally:
            self._end()

    def stop(self) -> None:
        """Accept no further commands, and resign after the write in progress."""
        self._is_stopping = True
        self._wake.set()

    async def _write_next(self) -> None:
        """Wait for commands or until the renewal is due, and write."""
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
        commands = self._pop_batch_commands()
        batch = LogBatch(number=row.last_batch + 1)
        for number, pending in enumerate(commands, start=row.last_index + 1):
            entry = LogEntry(index=number, term=self.epoch, command=pending.command)
            batch.entries.append(entry)
        row.last_batch = batch.number
        row.last_index += len(commands)
        try:
            is_committed = await self._write(row, [self._rows.batch_write(batch)])
            if is_committed:
                self._replica.batch = batch.number
                self._replica.apply(batch.entries)
                for pending, entry in zip(commands, batch.entries, strict=True):
                    pending.settle(Ok(entry.index))
        finally:
            for pending in commands:
                pending.settle(Err(outcome_unknown()))

    def _pop_batch_commands(self) -> Sequence[PendingCommand]:
        """Remove and return commands up to the size of a batch, and at least one."""
        count, size = 1, self._pending[0].command.ByteSize()
        while count < len(self._pending):
            size += self._pending[count].command.ByteSize()
            if size > self._timing.batch_bytes:
                break
            count += 1
        commands, self._pending = self._pending[:count], self._pending[count:]
        return commands

    async def _write(self, row: LeaderRow, others: Sequence[RowWrite] = ()) -> bool:
        """Write until the write is confirmed; False once the lease has ended.

        A write without a response may still take effect. Until that is decided, the same write is
        retried and nothing else is written.
        """
        unconfirmed_since_s: float | None = None
        while self.is_running():
            sent_at_s = self._clock.now()
            written = await self._rows.write(row, self.version, others)
            if written.is_ok():
                return self._record_write(row, sent_at_s)
            error = written.unwrap_err()
            if not isinstance(error, PlatformUnavailable | PlatformRateLimited):
                unconfirmed_since_s = (
                    sent_at_s if unconfirmed_since_s is None else unconfirmed_since_s
                )
                took_effect = await self._took_effect(row)
                if took_effect is not None:
                    return took_effect and self._record_write(row, unconfirmed_since_s)
            # A rate-limiting store says when to retry; the wait is bounded, as the lease runs.
            wanted_s = max(self._timing.retry_s, error.retry_after_s)
            await self._clock.sleep(min(wanted_s, self._timing.renewal_s))
        return False

    async def _took_effect(self, row: LeaderRow) -> bool | None:
        """Return whether a write without a response took effect; None: not, or not yet."""
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

    def _record_write(self, row: LeaderRow, sent_at_s: float) -> bool:
        # A lease that ended during the write is not resumed.
        if not self.is_running():
            return False
        self._row = row
        self.version += 1
        self._written_at_s = sent_at_s
        return True

    async def _resign(self) -> None:
        """Stop acting as leader, then clear the leader's row, so that a successor need not wait."""
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
