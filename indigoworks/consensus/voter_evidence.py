"""What shows that the voters of a generation are gone."""

from collections.abc import Mapping

from indigoworks.common.address import Address
from indigoworks.common.clock import Clock
from indigoworks.consensus.configurations import address_of, quorum_size
from indigoworks.wire.control_pb2 import Checkpoint, Configuration, IdentityReply, Member


class VoterEvidence:
    """Collects, over several rounds, which voters of a checkpoint are shown gone.

    A voter is gone when another incarnation answers at its address, or when a machine list that
    once showed it no longer does and it does not answer. No majority may be left in any
    configuration of the row; the caller waits until that has been so for longer than every lease.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._generation = 0
        self._replaced: set[str] = set()
        self._since_s: float | None = None

    def clear(self) -> None:
        """Start over."""
        self._replaced.clear()
        self._since_s = None

    def observe(
        self,
        checkpoint: Checkpoint,
        answers: Mapping[Address, IdentityReply],
        listed: frozenset[Address] | None,
    ) -> None:
        """Take one round of observations.

        :param answers: who answered at which address.
        :param listed: addresses in the machine list, or None where it could not be read.
        """
        if checkpoint.generation != self._generation:
            self.clear()
            self._generation = checkpoint.generation
        gone = {
            voter.incarnation
            for configuration in possible_configurations(checkpoint)
            for voter in configuration.voters
            if self._is_gone(voter, checkpoint, answers, listed)
        }
        is_impossible = all(
            has_no_majority(configuration, gone)
            for configuration in possible_configurations(checkpoint)
        )
        if not is_impossible:
            self._since_s = None
        elif self._since_s is None:
            self._since_s = self._clock.now()

    def ended_for_s(self) -> float:
        """Return for how long no majority has been left; minus infinity while one may be."""
        if self._since_s is None:
            return float("-inf")
        return self._clock.now() - self._since_s

    def addresses_of(self, checkpoint: Checkpoint) -> set[Address]:
        """Return the addresses to be asked before the next observation."""
        return {
            address_of(voter)
            for configuration in possible_configurations(checkpoint)
            for voter in configuration.voters
        }

    def _is_gone(
        self,
        voter: Member,
        checkpoint: Checkpoint,
        answers: Mapping[Address, IdentityReply],
        listed: frozenset[Address] | None,
    ) -> bool:
        if voter.incarnation in self._replaced:
            return True
        answer = answers.get(address_of(voter))
        if answer is not None:
            if answer.member.incarnation != voter.incarnation:
                self._replaced.add(voter.incarnation)
                return True
            return False
        # The list lags: a voter that it has not shown yet is not one that it has dropped.
        was_listed = voter.incarnation in checkpoint.listed_voters
        return was_listed and listed is not None and address_of(voter) not in listed


def possible_configurations(checkpoint: Checkpoint) -> list[Configuration]:
    """Return the configurations that may be in force in the checkpoint's generation."""
    if checkpoint.HasField("next_configuration"):
        return [checkpoint.configuration, checkpoint.next_configuration]
    return [checkpoint.configuration]


def has_no_majority(configuration: Configuration, gone: set[str]) -> bool:
    """Tell whether the voters that are not gone are too few for a majority."""
    left = [voter for voter in configuration.voters if voter.incarnation not in gone]
    return len(left) < quorum_size(configuration)
