"""One term of leadership."""

import asyncio

from eliot import log_message
from result import Err, Ok, Result

from indigoworks.common.clock import Clock
from indigoworks.consensus.configurations import members_of, quorum_size
from indigoworks.consensus.consensus_timing import ConsensusTiming
from indigoworks.consensus.errors import ConsensusError, not_leader, outcome_unknown
from indigoworks.consensus.peer_clients import PeerClients
from indigoworks.consensus.peer_replication import PeerReplication
from indigoworks.consensus.quorum_lease import confirmed_since_s, lease_duration_s
from indigoworks.consensus.replica import Replica
from indigoworks.consensus.role import Role
from indigoworks.consensus.task_set import TaskSet
from indigoworks.wire.control_pb2 import Command, Configuration, Member, Noop


class Leadership:
    """Appends, replicates and commits commands, and holds the quorum lease, for one term.

    :ivar tasks: background tasks that end with the leadership.
    """

    def __init__(
        self, replica: Replica, clients: PeerClients, clock: Clock, timing: ConsensusTiming
    ) -> None:
        self.generation = replica.generation
        self.term = replica.term
        self.tasks = TaskSet()
        self._replica = replica
        self._clients = clients
        self._clock = clock
        self._timing = timing
        self._peers: dict[str, PeerReplication] = {}
        self._peer_tasks: dict[str, asyncio.Task[None]] = {}
        self._waiting: dict[int, asyncio.Future[None]] = {}
        self._noop_index = 0
        self._is_handing_over = False
        self._has_ended = False
        self._last_lease_s = clock.now()

    def start(self) -> None:
        """Append the no-op of the term and start the tasks."""
        self._noop_index = self._append(Command(noop=Noop()))
        self._start_missing_peers()
        self.tasks.start(self._watch_lease(), "consensus:watch_lease")
        self.on_progress()

    def end(self) -> None:
        """End the tasks; commands that are not committed have an unknown outcome."""
        self._has_ended = True
        self.tasks.cancel()
        for waiting in self._waiting.values():
            if not waiting.done():
                waiting.cancel()
        self._waiting.clear()

    @property
    def is_established(self) -> bool:
        """Whether the no-op of the term is committed: all earlier entries are then, too."""
        return not self._has_ended and self._replica.commit_index >= self._noop_index

    @property
    def is_current(self) -> bool:
        """Whether this leadership has not ended."""
        return not self._has_ended

    @property
    def peers(self) -> list[PeerReplication]:
        """The peers of the newest configuration."""
        return list(self._peers.values())

    def peer(self, incarnation: str) -> PeerReplication | None:
        """Return the peer with this incarnation, or None."""
        return self._peers.get(incarnation)

    def holds_quorum_lease(self) -> bool:
        """Tell whether nobody else can lead now and all committed entries are applied here."""
        return self.is_established and not self._is_handing_over and self._is_lease_running()

    def renounce_lease(self) -> None:
        """Give up the lease for the rest of the term, before a handover is asked for."""
        self._is_handing_over = True

    async def propose(self, command: Command) -> Result[int, ConsensusError]:
        """Append a command and wait until it is committed and applied here.

        :returns: its log index; NotLeader when it was not appended; OutcomeUnknown when the
            leadership ended before it was committed.
        """
        if self._has_ended or self._is_handing_over:
            return Err(not_leader(self._replica.leader if self._has_ended else None))
        return await self._replicate(command)

    async def _replicate(self, command: Command) -> Result[int, ConsensusError]:
        index = self._append(command)
        committed = asyncio.get_running_loop().create_future()
        self._waiting[index] = committed
        self._start_missing_peers()
        for peer in self.peers:
            peer.wake()
        self.on_progress()
        try:
            await asyncio.wait([committed])
        finally:
            self._waiting.pop(index, None)
        if committed.cancelled():
            return Err(outcome_unknown())
        return Ok(index)

    async def change_configuration(
        self, configuration: Configuration
    ) -> Result[int, ConsensusError]:
        """Append a configuration, which takes effect at once, and wait for its commit."""
        log_message(
            message_type="consensus:configuration",
            generation=self.generation,
            term=self.term,
            voters=[voter.name for voter in configuration.voters],
            learners=[learner.name for learner in configuration.learners],
        )
        return await self._replicate(Command(configuration=configuration))

    def on_progress(self) -> None:
        """Commit what a majority of the voters holds."""
        if self._has_ended:
            return
        index = self._majority_match_index()
        # Entries of earlier terms are committed only together with one of the own term.
        if index > self._replica.commit_index and self._replica.log.term_at(index) == self.term:
            self._commit(index)
        if self.holds_quorum_lease():
            self._replica.confirm(self._lease_since_s())

    def _commit(self, index: int) -> None:
        self._replica.advance_commit(index)
        for waiting_index in [waiting for waiting in self._waiting if waiting <= index]:
            waiting = self._waiting.pop(waiting_index)
            if not waiting.done():
                waiting.set_result(None)
        self._drop_former_peers()
        for peer in self.peers:
            peer.wake()
        if not self._replica.is_voter and self._is_configuration_committed():
            self._replica.become_follower()

    def _append(self, command: Command) -> int:
        return self._replica.log.append(self.term, command)

    def _majority_match_index(self) -> int:
        configuration = self._replica.log.configuration
        matches = [self._match_index(voter) for voter in configuration.voters]
        matches.sort(reverse=True)
        return matches[quorum_size(configuration) - 1]

    def _match_index(self, voter: Member) -> int:
        if voter.incarnation == self._replica.member.incarnation:
            return self._replica.log.last_index
        peer = self._peers.get(voter.incarnation)
        return peer.match_index if peer is not None else 0

    def _is_lease_running(self) -> bool:
        return self._clock.now() < self._lease_since_s() + lease_duration_s(self._timing)

    def _lease_since_s(self) -> float:
        configuration = self._replica.log.configuration
        confirmations = [self._confirmed_at_s(voter) for voter in configuration.voters]
        return confirmed_since_s(confirmations, quorum_size(configuration))

    def _confirmed_at_s(self, voter: Member) -> float:
        if voter.incarnation == self._replica.member.incarnation:
            return self._own_confirmation_s()
        peer = self._peers.get(voter.incarnation)
        return peer.confirmed_at_s if peer is not None else float("-inf")

    def _own_confirmation_s(self) -> float:
        """Return since when this node supports itself.

        A single voter has no one who could tell it, after a freeze, that a new generation was
        formed meanwhile: it counts only from when it last knew that there was none.
        """
        if len(self._replica.log.configuration.voters) > 1:
            return self._clock.now()
        return self._replica.generation_confirmed_s

    def _is_configuration_committed(self) -> bool:
        return self._replica.log.configuration_index <= self._replica.commit_index

    def _start_missing_peers(self) -> None:
        own = self._replica.member.incarnation
        for member in members_of(self._replica.log.configuration):
            if member.incarnation not in self._peers and member.incarnation != own:
                self._start_peer(member)

    def _start_peer(self, member: Member) -> None:
        peer = PeerReplication(
            member, self._replica, self._clients, self._clock, self._timing, self
        )
        self._peers[member.incarnation] = peer
        self._peer_tasks[member.incarnation] = self.tasks.start(
            peer.run(), f"consensus:replicate:{member.name}"
        )

    def _drop_former_peers(self) -> None:
        if not self._is_configuration_committed():
            return
        current = {member.incarnation for member in members_of(self._replica.log.configuration)}
        for incarnation in [known for known in self._peers if known not in current]:
            del self._peers[incarnation]
            self._peer_tasks.pop(incarnation).cancel()

    async def _watch_lease(self) -> None:
        """Step down after a long time without a majority, so that callers look elsewhere."""
        while self.is_current:
            await self._clock.sleep(self._timing.heartbeat_s)
            now_s = self._clock.now()
            if self._is_lease_running():
                self._last_lease_s = now_s
                self._replica.confirm_generation(now_s)
            elif now_s - self._last_lease_s > self._timing.leader_without_lease_s:
                log_message(message_type="consensus:lease_lost", term=self.term)
                if self._replica.role is Role.LEADER:
                    self._replica.become_follower()
                return
