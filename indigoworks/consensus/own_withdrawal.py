"""When a node may give up its part in a generation, so that it can form the next one."""

from collections.abc import Collection, Mapping

from indigoworks.common.address import Address
from indigoworks.common.clock import Clock
from indigoworks.consensus.configurations import address_of, has_same_voters, is_voter
from indigoworks.consensus.consensus_timing import ConsensusTiming
from indigoworks.consensus.generation_start import is_survivor
from indigoworks.consensus.log_position import LogPosition
from indigoworks.consensus.replica import Replica
from indigoworks.consensus.role import Role
from indigoworks.wire.control_pb2 import Checkpoint, Configuration, IdentityReply, Member


class OwnWithdrawal:
    """Counts this node out of a configuration of the row that its own log does not hold as newest.

    Such a configuration was announced and perhaps never appended: nobody may be able to campaign
    under it, though enough of its voters live. Without this node they are no majority, so once it
    has withdrawn from the generation, nobody can lead under that configuration any more.
    """

    def __init__(self, replica: Replica, clock: Clock, timing: ConsensusTiming) -> None:
        self._replica = replica
        self._clock = clock
        self._timing = timing

    def counted_out(self, found: Checkpoint, configuration: Configuration) -> set[str]:
        """Return the voters of `configuration` that need not act under it: this node, or none."""
        replica = self._replica
        own = replica.member.incarnation
        if not is_survivor(found, replica) or not is_voter(configuration, own):
            return set()
        return set() if has_same_voters(configuration, replica.log.configuration) else {own}

    def is_allowed(
        self,
        configurations: Collection[Configuration],
        answers: Mapping[Address, IdentityReply],
        gone: Collection[str],
    ) -> bool:
        """Tell whether this node may withdraw now.

        :param configurations: those out of which it counts itself.
        :param answers: who answered in this round.
        :param gone: voters that are shown gone.
        """
        replica = self._replica
        silence_s = self._clock.now() - replica.last_leader_contact_s
        # A leader may have granted leases for as long as this node supported it.
        if replica.role is Role.LEADER or silence_s <= self._timing.every_lease_s:
            return False
        others = [
            voter
            for configuration in configurations
            for voter in configuration.voters
            if voter.incarnation not in gone and voter.incarnation != replica.member.incarnation
        ]
        return all(self._holds_no_more(voter, answers) for voter in others)

    def _holds_no_more(self, voter: Member, answers: Mapping[Address, IdentityReply]) -> bool:
        """Tell whether the voter answered, with a log that reaches no further than the own one."""
        answer = answers.get(address_of(voter))
        if answer is None or answer.member.incarnation != voter.incarnation:
            return False
        reached = LogPosition(answer.last_log_term, answer.last_log_index)
        is_same_generation = answer.generation == self._replica.generation
        return is_same_generation and reached <= self._replica.log.position
