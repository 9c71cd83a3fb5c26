"""What shows that the voters of a generation are gone."""

from collections.abc import Callable, Mapping

from indigoworks.common.address import Address
from indigoworks.common.clock import Clock
from indigoworks.consensus.configurations import address_of, quorum_size
from indigoworks.consensus.machine_absence import MachineAbsence
from indigoworks.wire.control_pb2 import Checkpoint, Configuration, IdentityReply, Member


class VoterEvidence:
    """Collects, over several rounds, which voters of a checkpoint are shown gone.

    A voter is gone when another incarnation answers at its address, or when the machine list has
    dropped it and it does not answer. No majority may be left in any configuration under which a
    leader may exist; the caller waits until that has been so for longer than every lease.

    :ivar gone: the voters that the last round showed gone.
    :ivar open_configurations: those of which a majority was not shown gone by the last round.
    """

    def __init__(self, clock: Clock, absence: MachineAbsence, ended: set[str]) -> None:
        self._clock = clock
        self._absence = absence
        self._ended = ended
        self._generation = 0
        self._named: set[str] = set()
        self._since_s: float | None = None
        self.gone: set[str] = set()
        self.open_configurations: list[Configuration] = []

    def clear(self) -> None:
        """Start over. Runs that were replaced stay replaced."""
        self._since_s = None

    def observe(
        self,
        checkpoint: Checkpoint,
        counted_out: Callable[[Configuration], set[str]],
        answers: Mapping[Address, IdentityReply],
        listed: frozenset[Address] | None,
    ) -> None:
        """Take one round of observations.

        :param counted_out: gives the voters of a configuration that are ready not to act under it.
        :param answers: who answered at which address, asked before the checkpoint was read.
        :param listed: addresses in the machine list, or None where it could not be read.
        """
        if checkpoint.generation != self._generation:
            self.clear()
            self._generation = checkpoint.generation
        self._note_ended(checkpoint, answers)
        self.gone = {
            voter.incarnation
            for voter in voters_of(checkpoint)
            if self._is_gone(voter, checkpoint, answers, listed)
        }
        self.open_configurations = [
            configuration
            for configuration in possible_configurations(checkpoint)
            if not has_no_majority(configuration, self.gone)
        ]
        if not all(
            has_no_majority(configuration, self.gone | counted_out(configuration))
            for configuration in self.open_configurations
        ):
            self._since_s = None
        elif self._since_s is None:
            self._since_s = self._clock.now()

    def ended_for_s(self) -> float:
        """Return for how long no majority has been left; minus infinity while one may be."""
        if self._since_s is None:
            return float("-inf")
        return self._clock.now() - self._since_s

    def _note_ended(self, checkpoint: Checkpoint, answers: Mapping[Address, IdentityReply]) -> None:
        for answer in answers.values():
            self._ended.update(answer.ended_incarnations)
        for voter in voters_of(checkpoint):
            # The row was read after the question: an answer of the run before this voter must not
            # count against it. So only voters count that an earlier round had read already.
            found = answers.get(address_of(voter))
            if found is None or voter.incarnation not in self._named:
                continue
            if found.member.incarnation != voter.incarnation:
                self._ended.add(voter.incarnation)
        self._named = {voter.incarnation for voter in voters_of(checkpoint)}

    def _is_gone(
        self,
        voter: Member,
        checkpoint: Checkpoint,
        answers: Mapping[Address, IdentityReply],
        listed: frozenset[Address] | None,
    ) -> bool:
        if voter.incarnation in self._ended:
            return True
        if listed is None or voter.incarnation not in checkpoint.listed_voters:
            return False
        is_dropped = self._absence.is_dropped(voter.incarnation, address_of(voter), listed)
        return is_dropped and address_of(voter) not in answers


def possible_configurations(checkpoint: Checkpoint) -> list[Configuration]:
    """Return the configurations that may be in force in the checkpoint's generation."""
    if checkpoint.HasField("next_configuration"):
        return [checkpoint.configuration, checkpoint.next_configuration]
    return [checkpoint.configuration]


def voters_of(checkpoint: Checkpoint) -> list[Member]:
    """Return the voters of all configurations that the checkpoint names."""
    return [
        voter
        for configuration in possible_configurations(checkpoint)
        for voter in configuration.voters
    ]


def has_no_majority(configuration: Configuration, gone: set[str]) -> bool:
    """Tell whether the voters that are not gone are too few for a majority."""
    left = [voter for voter in configuration.voters if voter.incarnation not in gone]
    return len(left) < quorum_size(configuration)
