"""One node of a control group."""

import asyncio
from collections.abc import Sequence
from random import Random

from result import Err, Result

from indigoworks.common.address import Address
from indigoworks.common.clock import Clock
from indigoworks.consensus.append_handler import AppendHandler
from indigoworks.consensus.checkpoint_row import CheckpointRow
from indigoworks.consensus.checkpoint_writer import CheckpointWriter
from indigoworks.consensus.consensus_status import ConsensusStatus
from indigoworks.consensus.consensus_timing import ConsensusTiming
from indigoworks.consensus.election import Election
from indigoworks.consensus.errors import ConsensusError, not_leader
from indigoworks.consensus.generation_recovery import GenerationRecovery
from indigoworks.consensus.group_discovery import GroupDiscovery
from indigoworks.consensus.identity_probe import IdentityProbe
from indigoworks.consensus.leader_tenure import LeaderTenure
from indigoworks.consensus.leadership import Leadership
from indigoworks.consensus.membership import Membership
from indigoworks.consensus.peer_clients import PeerClients
from indigoworks.consensus.planned_stop import PlannedStop
from indigoworks.consensus.recent_machine_list import RecentMachineList
from indigoworks.consensus.replica import Replica
from indigoworks.consensus.replicated_state import ReplicatedState
from indigoworks.consensus.request_dispatch import RequestDispatch
from indigoworks.consensus.role import Role
from indigoworks.consensus.task_set import TaskSet
from indigoworks.consensus.vote_handler import VoteHandler
from indigoworks.platform.machine_list import MachineList
from indigoworks.platform.table_store import TableStore
from indigoworks.wire.control_pb2 import Command, Frame, Member


class ConsensusNode:
    """Keeps a replicated state in agreement with the other nodes of its group.

    The owner feeds it request frames through `handle` and runs `run` as a task.
    """

    def __init__(
        self,
        member: Member,
        group_id: int,
        state: ReplicatedState,
        table: TableStore,
        machines: MachineList,
        seeds: Sequence[Address],
        clock: Clock,
        timing: ConsensusTiming,
        random: Random,
    ) -> None:
        self._clock = clock
        self._timing = timing
        self._machines = RecentMachineList(machines, clock, timing.machine_list_interval_s)
        self._row = CheckpointRow(table, group_id)
        self._clients = PeerClients(group_id)
        self._tasks = TaskSet()
        self._ended = asyncio.Event()
        self._tenure: LeaderTenure | None = None
        self._replica = Replica(member, state, clock, timing, random)
        self._replica.on_step_down(self._end_tenure)
        self._probe = IdentityProbe(self._clients, timing)
        self._election = Election(self._replica, self._clients, clock, timing, self._start_tenure)
        recovery = GenerationRecovery(self._replica, self._row, self._machines, clock, timing)
        self._discovery = GroupDiscovery(
            self._replica,
            seeds,
            self._machines,
            self._probe,
            recovery,
            self._clients,
            clock,
            timing,
        )
        self._dispatch = RequestDispatch(
            group_id,
            self._replica,
            VoteHandler(self._replica, self.holds_quorum_lease),
            AppendHandler(self._replica, clock),
            self._election,
            lambda: self._tenure,
            self._tasks,
        )

    async def run(self) -> None:
        """Form or join the group, follow and lead, until stopped or cancelled.

        A fault in a task that it cannot do without is raised: the process must not go on deaf.
        """
        needed = [
            self._tasks.start(self._election.run(), "consensus:election"),
            self._tasks.start(self._discovery.run(), "consensus:discovery"),
        ]
        ended = self._tasks.start(self._wait_ended(), "consensus:wait_ended")
        try:
            await asyncio.wait([ended, *needed], return_when=asyncio.FIRST_COMPLETED)
            for task in needed:
                if task.done():
                    task.result()
        finally:
            self._end()

    async def _wait_ended(self) -> None:
        await self._ended.wait()

    async def stop(self) -> None:
        """Hand leadership over, leave the configuration where possible, and end `run`.

        Takes at most `transfer_s` + `leave_s` of the timing. Requests must still be passed to
        `handle` meanwhile.
        """
        self._replica.is_stopping = True
        planned = PlannedStop(self._replica, self._clients, self._clock, self._timing)
        await planned.run(self._tenure)
        self._ended.set()
        self._end()

    async def handle(self, frame: Frame) -> Frame:
        """Answer a request of another controller."""
        return self._dispatch.handle(frame)

    @property
    def status(self) -> ConsensusStatus:
        """Role, generation, term, leader, indices and configuration at this moment."""
        replica = self._replica
        return ConsensusStatus(
            member=replica.member,
            role=replica.role,
            generation=replica.generation,
            term=replica.term,
            leader=replica.leader,
            commit_index=replica.commit_index,
            applied_index=replica.commit_index,
            configuration=replica.log.configuration,
        )

    async def propose(self, command: Command) -> Result[int, ConsensusError]:
        """Replicate a command; only a leader can.

        :returns: log index, once the command is committed and applied here; NotLeader when it
            was not appended and never takes effect; OutcomeUnknown when leadership ended before
            it was committed.
        """
        if self._tenure is None:
            return Err(not_leader(self._replica.leader))
        return await self._tenure.leadership.propose(command)

    def holds_quorum_lease(self) -> bool:
        """Tell whether this node leads, nobody else can, and it has applied all committed."""
        return self._tenure is not None and self._tenure.leadership.holds_quorum_lease()

    def confirmed_at_s(self) -> float | None:
        """Return the own clock reading as of which the applied state was confirmed current.

        For a leader under its quorum lease that is now; None before anything was confirmed.
        """
        if self.holds_quorum_lease():
            self._replica.confirm(self._clock.now())
        return self._replica.confirmed_at_s

    async def wait_applied(self, after_index: int, timeout_s: float) -> int:
        """Wait until an index greater than `after_index` is applied, at most `timeout_s`.

        :returns: the applied index, which at the timeout is not greater.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while self._replica.commit_index <= after_index:
                    await self._replica.changed.wait()
        except TimeoutError:
            pass
        return self._replica.commit_index

    async def wait_leadership(self) -> int:
        """Wait until this node leads and has committed the no-op of its term; return the term."""
        while True:
            tenure = self._tenure
            if tenure is not None and tenure.leadership.is_established:
                return tenure.leadership.term
            await self._replica.changed.wait()

    def _start_tenure(self) -> None:
        replica = self._replica
        leadership = Leadership(replica, self._clients, self._clock, self._timing)
        checkpoints = CheckpointWriter(leadership, replica, self._row, self._clock, self._timing)
        membership = Membership(
            leadership,
            replica,
            checkpoints,
            self._probe,
            self._machines,
            self._clock,
            self._timing,
        )
        self._tenure = LeaderTenure(leadership, checkpoints, membership)
        self._tenure.start()

    def _end_tenure(self) -> None:
        tenure, self._tenure = self._tenure, None
        if tenure is not None:
            tenure.leadership.end()

    def _end(self) -> None:
        if self._replica.role is Role.LEADER:
            self._replica.become_follower()
        self._tasks.cancel()
        self._clients.close()
