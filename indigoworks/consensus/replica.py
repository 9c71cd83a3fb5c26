"""What one node knows of its group."""

from collections.abc import Callable
from random import Random

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.consensus.change_signal import ChangeSignal
from indigoworks.consensus.configurations import is_voter
from indigoworks.consensus.consensus_timing import ConsensusTiming
from indigoworks.consensus.leader_support import LeaderSupport
from indigoworks.consensus.replicated_log import ReplicatedLog
from indigoworks.consensus.replicated_state import ReplicatedState
from indigoworks.consensus.role import Role
from indigoworks.wire.control_pb2 import Checkpoint, Configuration, Member


class Replica:
    """Generation, term, vote, log and replicated state of one node, all in memory.

    The tasks and request handlers of a node share it. No method waits, so each is atomic.

    :ivar changed: notified after each change of role, generation or applied index.
    :ivar last_leader_contact_s: own clock when the leader was last heard.
    :ivar ended_incarnations: runs of processes that this node knows to have been replaced.
    :ivar withdrawn_at_version: version of the checkpoint row at which this node gave up its part in
        the generation; None while it takes part.
    :ivar generation_confirmed_s: own clock as of which no newer generation existed, as far as a
        leader that is the only voter must know.
    """

    def __init__(
        self,
        member: Member,
        state: ReplicatedState,
        clock: Clock,
        timing: ConsensusTiming,
        random: Random,
    ) -> None:
        self.member = member
        self.state = state
        self.generation = 0
        self.term = 0
        self.voted_for = ""
        self.role = Role.LEARNER
        self.commit_index = 0
        self.log = ReplicatedLog(0, 0, Configuration())
        self.support = LeaderSupport(clock, timing.quorum_lease_s)
        self.changed = ChangeSignal()
        self.last_leader_contact_s = float("-inf")
        self.generation_confirmed_s = float("-inf")
        self.election_deadline_s = float("inf")
        self.confirmed_at_s: float | None = None
        self.ended_incarnations: set[str] = set()
        self.is_stopping = False
        self.withdrawn_at_version: int | None = None
        self._leader: Member | None = None
        self._clock = clock
        self._timing = timing
        self._random = random
        self._step_down_listener: Callable[[], None] | None = None

    @property
    def is_initialised(self) -> bool:
        """Whether this node holds a copy of its generation's state."""
        return self.log.base_index > 0

    @property
    def is_voter(self) -> bool:
        """Whether the newest configuration in the own log has this node as a voter."""
        return is_voter(self.log.configuration, self.member.incarnation)

    @property
    def has_withdrawn(self) -> bool:
        """Whether this node has given up its part in the generation: it neither votes nor takes."""
        return self.withdrawn_at_version is not None

    @property
    def leader(self) -> Member | None:
        """The leader; None when there is none or it has been silent for an election timeout."""
        if self.role is Role.LEADER:
            return self.member
        silence_s = self._clock.now() - self.last_leader_contact_s
        return self._leader if silence_s < self._timing.election_timeout_max_s else None

    def on_step_down(self, listener: Callable[[], None]) -> None:
        """Call `listener` when this node stops leading."""
        self._step_down_listener = listener

    def adopt_generation(self, generation: int) -> None:
        """Drop everything and enter a newer generation, as a learner without a state.

        Messages carry the generation, so this node never again votes or answers in the old one.
        """
        log_message(
            message_type="consensus:generation_adopted",
            member=self.member.name,
            old=self.generation,
            new=generation,
        )
        self._forget(generation, ReplicatedLog(0, 0, Configuration()))
        self.changed.notify()

    def start_from(self, checkpoint: Checkpoint) -> None:
        """Start a generation that this node has formed, from its checkpoint."""
        log = ReplicatedLog(checkpoint.last_index, checkpoint.last_term, checkpoint.configuration)
        log.merge(checkpoint.entries)
        self._forget(checkpoint.generation, log)
        self.term = checkpoint.term
        self.commit_index = checkpoint.last_index
        self.state.restore(checkpoint.state)
        self.role = Role.FOLLOWER
        self.election_deadline_s = self._clock.now()
        self.changed.notify()

    def withdraw(self, version: int) -> None:
        """Neither vote, campaign nor take entries until the row has left `version`."""
        self.withdrawn_at_version = version
        self.become_follower()

    def take_part_again(self) -> None:
        """End a withdrawal, since the row was written by another node."""
        self.withdrawn_at_version = None
        self.reset_election_deadline()

    def install(self, log: ReplicatedLog, state: bytes) -> None:
        """Replace log and state by a snapshot of the leader."""
        self.log = log
        self.commit_index = log.base_index
        self.state.restore(state)
        self._update_role()
        self.changed.notify()

    def enter_term(self, term: int) -> None:
        """Follow in `term` if it is newer; a leader steps down."""
        if term <= self.term:
            return
        self.term = term
        self.voted_for = ""
        self._leader = None
        self.become_follower()

    def become_follower(self) -> None:
        """Stop leading or campaigning."""
        was_leader = self.role is Role.LEADER
        self.role = Role.FOLLOWER
        self._update_role()
        self.reset_election_deadline()
        if was_leader and self._step_down_listener is not None:
            self._step_down_listener()
        self.changed.notify()

    def follow(self, leader: Member, term: int) -> None:
        """Take `leader` as the leader of `term`, which is not older than the own term."""
        self.enter_term(term)
        if self.role is Role.CANDIDATE:
            self.become_follower()
        self._leader = leader
        self.last_leader_contact_s = self._clock.now()
        self.support.renew(term)
        self.reset_election_deadline()

    def become_candidate(self) -> None:
        """Enter the next term and vote for itself."""
        self.term += 1
        self.voted_for = self.member.incarnation
        self.role = Role.CANDIDATE
        self._leader = None
        self.reset_election_deadline()
        self.changed.notify()

    def become_leader(self) -> None:
        """Lead the current term."""
        self.role = Role.LEADER
        self.changed.notify()

    def reset_election_deadline(self) -> None:
        """Draw the moment of the next election, should no leader be heard until then."""
        timeout_s = self._random.uniform(
            self._timing.election_timeout_min_s, self._timing.election_timeout_max_s
        )
        self.election_deadline_s = self._clock.now() + timeout_s

    def advance_commit(self, index: int) -> None:
        """Apply the entries up to `index`, which are committed."""
        if index <= self.commit_index:
            return
        for entry in self.log.entries_after(self.commit_index, index - self.commit_index):
            self.state.apply(entry.index, entry.command)
        self.commit_index = index
        self.log.compact(index - self._timing.kept_entries)
        self._update_role()
        self.changed.notify()

    def confirm_generation(self, reading_s: float) -> None:
        """Note that no newer generation existed at the own clock reading `reading_s`."""
        self.generation_confirmed_s = max(self.generation_confirmed_s, reading_s)

    def confirm(self, reading_s: float) -> None:
        """Note that the applied state was current at the own clock reading `reading_s`."""
        if self.confirmed_at_s is None or reading_s > self.confirmed_at_s:
            self.confirmed_at_s = reading_s

    def _update_role(self) -> None:
        if self.role in (Role.LEARNER, Role.FOLLOWER):
            self.role = Role.FOLLOWER if self.is_voter else Role.LEARNER

    def _forget(self, generation: int, log: ReplicatedLog) -> None:
        self.become_follower()
        self.generation = generation
        self.term = 0
        self.voted_for = ""
        self.log = log
        self.commit_index = 0
        self.confirmed_at_s = None
        self.last_leader_contact_s = float("-inf")
        self.generation_confirmed_s = float("-inf")
        self.ended_incarnations.clear()
        self.withdrawn_at_version = None
        self._leader = None
        self._update_role()
