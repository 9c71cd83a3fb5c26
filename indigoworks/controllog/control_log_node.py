"""Node of a control group."""

import asyncio

from eliot import log_message
from result import Err, Result

from indigoworks.common.clock import Clock
from indigoworks.controllog.errors import ControlLogError, not_leader
from indigoworks.controllog.follow_service import FollowService
from indigoworks.controllog.leader_follower import LeaderFollower
from indigoworks.controllog.leader_lease_monitor import LeaderLeaseMonitor
from indigoworks.controllog.leader_tenure import LeaderTenure
from indigoworks.controllog.log_replica import LogReplica
from indigoworks.controllog.log_rows import LogRows
from indigoworks.controllog.log_status import LogStatus
from indigoworks.controllog.log_timing import LogTiming
from indigoworks.controllog.refusal import other_group, unknown_request
from indigoworks.controllog.replicated_state import ReplicatedState
from indigoworks.controllog.role import Role
from indigoworks.controllog.stored_leader import StoredLeader
from indigoworks.platform.table_store import TableStore
from indigoworks.wire.control_pb2 import Command, Frame, LeaderRow, Member


class ControlLogNode:
    """Leads the group while it holds the leader's row, and follows the leader otherwise.

    The owner passes request frames to `handle` and runs `run` as a task.
    """

    def __init__(
        self,
        member: Member,
        group_id: int,
        state: ReplicatedState,
        table: TableStore,
        clock: Clock,
        timing: LogTiming,
    ) -> None:
        self._member = member
        self._group_id = group_id
        self._clock = clock
        self._timing = timing
        self._rows = LogRows(table, group_id, timing.ring_rows)
        self._replica = LogReplica(state, timing.kept_entries)
        self._lease_monitor = LeaderLeaseMonitor(member, clock, timing.lease_s)
        self._follows = FollowService(member, self._replica, clock, timing)
        self._follower = LeaderFollower(
            member, group_id, self._replica, self._lease_monitor, clock, timing
        )
        self._tenure: LeaderTenure | None = None
        self._epoch = 0
        self._is_stopping = False
        self._running: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Follow or lead until stopped or cancelled."""
        self._running = asyncio.ensure_future(self._run())
        try:
            await asyncio.wait([self._running])
            if not self._running.cancelled():
                self._running.result()
        finally:
            self._running.cancel()

    async def stop(self) -> None:
        """Resign and end `run`, within `resign_timeout_s` and one call to the store."""
        self._is_stopping = True
        running = self._running
        if running is None:
            return
        if self._tenure is not None:
            self._tenure.stop()
            await asyncio.wait([running], timeout=self._timing.resign_timeout_s)
        running.cancel()
        await asyncio.wait([running])

    async def handle(self, frame: Frame) -> Frame:
        """Answer a request of another controller."""
        if frame.group_id != self._group_id:
            return other_group(frame.group_id)
        payload = frame.WhichOneof("payload")
        if payload == "follow_request":
            return await self._follows.respond(frame.follow_request, self._tenure)
        return unknown_request(payload or "")

    @property
    def status(self) -> LogStatus:
        """Current role, epoch, leader, index and members."""
        is_leader = self._tenure is not None and self._tenure.holds_lease()
        return LogStatus(
            member=self._member,
            role=Role.LEADER if is_leader else Role.FOLLOWER,
            generation=self._replica.generation,
            term=max(self._epoch, self._follower.epoch),
            leader=self._member if is_leader else self._follower.leader,
            commit_index=self._replica.index,
            configuration=self._follows.members() if is_leader else self._follower.members,
        )

    async def propose(self, command: Command) -> Result[int, ControlLogError]:
        """Commit a command; only a leader can.

        :returns: log index, once the command is committed and applied here; NotLeader if it was
            not written and never takes effect; OutcomeUnknown if the lease ended before the write
            was confirmed.
        """
        if self._tenure is None:
            return Err(not_leader(self._follower.leader))
        return await self._tenure.propose(command)

    def holds_lease(self) -> bool:
        """Return whether this node leads, no other can, and it has applied all commits."""
        return self._tenure is not None and self._tenure.holds_lease()

    def can_commit(self) -> bool:
        """Return whether this node leads and the store has accepted its recent writes."""
        return self._tenure is not None and self._tenure.can_commit()

    def confirmed_at_s(self) -> float | None:
        """Return the clock reading as of which the applied state was confirmed current.

        For a leader with a lease that is now; None before the first confirmation.
        """
        if self.holds_lease():
            self._replica.confirm(self._clock.now())
        return self._replica.confirmed_at_s

    async def wait_applied(self, after_index: int, timeout_s: float) -> int:
        """Wait until an index greater than `after_index` is applied, at most `timeout_s`.

        :returns: the applied index; not greater if the wait timed out.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while self._replica.index <= after_index:
                    await self._replica.changed.wait()
        except TimeoutError:
            pass
        return self._replica.index

    async def wait_leadership(self) -> int:
        """Wait until this node leads and has applied all commits; return the epoch."""
        while not self.holds_lease():
            await self._replica.changed.wait()
        return self._epoch

    async def _run(self) -> None:
        while not self._is_stopping:
            sent_at_s = self._clock.now()
            read = await self._rows.read_leader()
            if read.is_ok():
                await self._handle_row(read.unwrap(), sent_at_s)
            await self._clock.sleep(self._timing.read_interval_s)

    async def _handle_row(self, stored: StoredLeader, sent_at_s: float) -> None:
        self._lease_monitor.record_version(stored.version)
        self._epoch = max(self._epoch, stored.row.epoch)
        if self._lease_monitor.has_lapsed(stored):
            if not self._is_stopping:
                await self._claim_leadership(stored)
            return
        # The row contains the newest commit at the time of the read, whichever node leads.
        if await self._rows.catch_up(self._replica, stored.row):
            self._replica.confirm(sent_at_s)
        await self._follower.follow(stored.row.leader)

    async def _claim_leadership(self, stored: StoredLeader) -> None:
        """Write the next epoch if the row is unchanged since it was read, and lead."""
        row = LeaderRow()
        row.CopyFrom(stored.row)
        if stored.version == 0:
            first = await self._rows.first_row()
            if first.is_err():
                return
            row = first.unwrap()
        row.epoch += 1
        row.leader.CopyFrom(self._member)
        sent_at_s = self._clock.now()
        written = await self._rows.write(row, stored.version)
        if written.is_err():
            # Without a response the write may have been applied: the next read shows it, and this
            # node starts a new epoch.
            return
        await self._lead(StoredLeader(row, stored.version + 1), sent_at_s)

    async def _lead(self, claimed: StoredLeader, sent_at_s: float) -> None:
        self._epoch = claimed.row.epoch
        tenure = LeaderTenure(
            self._replica, self._rows, self._clock, self._timing, claimed, sent_at_s
        )
        if self._is_stopping:
            tenure.stop()
        self._tenure = tenure
        log_message(message_type="control_log:leader_taken", epoch=self._epoch)
        try:
            await tenure.run()
        finally:
            self._tenure = None
            log_message(message_type="control_log:leader_ended", epoch=self._epoch)
