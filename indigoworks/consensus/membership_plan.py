"""Which change of the configuration comes next."""

from collections import Counter

from indigoworks.consensus.configurations import (
    demoted,
    has_same_voters,
    is_member,
    promoted,
    quorum_size,
    with_learners,
    without,
)
from indigoworks.consensus.membership_facts import MembershipFacts
from indigoworks.wire.control_pb2 import Configuration, Member

EVEN_ZONES_TOLERANCE = 1


class MembershipPlan:
    """Chooses one change at a time; every rule keeps a live majority."""

    def __init__(
        self, configuration: Configuration, facts: MembershipFacts, max_voters: int
    ) -> None:
        self._configuration = configuration
        self._facts = facts
        self._max_voters = max_voters

    def next(self) -> Configuration | None:
        """Return the next configuration, or None when all is as it should be."""
        rules = (
            self._without_ended_learners,
            self._without_ended_voter,
            self._with_joining,
            self._with_further_voter,
            self._without_silent_voter,
            self._without_crowded_voter,
        )
        for rule in rules:
            changed = rule()
            if changed is not None and self._keeps_live_majority(changed):
                return changed
        return None

    def _keeps_live_majority(self, changed: Configuration) -> bool:
        if has_same_voters(changed, self._configuration):
            return True
        live = [voter for voter in changed.voters if voter.incarnation in self._facts.live]
        return bool(changed.voters) and len(live) >= quorum_size(changed)

    def _without_ended_learners(self) -> Configuration | None:
        facts = self._facts
        ended = facts.gone | facts.silent | facts.leaving
        changed = self._configuration
        for learner in self._configuration.learners:
            if learner.incarnation in ended:
                changed = without(changed, learner.incarnation)
        return None if changed is self._configuration else changed

    def _without_ended_voter(self) -> Configuration | None:
        ended = self._facts.gone | self._facts.leaving
        for voter in self._configuration.voters:
            if voter.incarnation in ended and voter.incarnation != self._facts.own:
                return without(self._configuration, voter.incarnation)
        return None

    def _with_joining(self) -> Configuration | None:
        joining = [
            member
            for member in self._facts.joining
            if not is_member(self._configuration, member.incarnation)
        ]
        return with_learners(self._configuration, joining) if joining else None

    def _with_further_voter(self) -> Configuration | None:
        """Promote a learner.

        An even number of voters tolerates no more losses than one less, and two voters even
        fewer than one: growth from an odd number starts only when two learners stand by.
        """
        count = len(self._configuration.voters)
        candidates = self._candidates()
        is_successor_missing = self._facts.is_own_leaving and count == 1
        needed = 1 if count % 2 == 0 or is_successor_missing else 2
        if count >= self._max_voters or len(candidates) < needed:
            return None
        return promoted(self._configuration, candidates[0])

    def _without_silent_voter(self) -> Configuration | None:
        if not self._candidates():
            return None
        for voter in self._configuration.voters:
            if voter.incarnation in self._facts.silent:
                return without(self._configuration, voter.incarnation)
        return None

    def _without_crowded_voter(self) -> Configuration | None:
        """Make room for a learner of a zone that has clearly fewer voters than another."""
        candidates = self._candidates()
        if not candidates or len(self._configuration.voters) % 2 == 0:
            return None
        per_zone = self._voters_per_zone()
        crowded, most = max(per_zone.items(), key=lambda item: (item[1], item[0]))
        if most - per_zone[candidates[0].zone] <= EVEN_ZONES_TOLERANCE:
            return None
        for voter in self._configuration.voters:
            if voter.zone == crowded and voter.incarnation != self._facts.own:
                return demoted(self._configuration, voter)
        return None

    def _candidates(self) -> list[Member]:
        """Return learners fit to vote, those of the zones with the fewest voters first."""
        per_zone = self._voters_per_zone()
        fit = [
            learner
            for learner in self._configuration.learners
            if learner.incarnation in self._facts.caught_up
        ]
        return sorted(fit, key=lambda member: (per_zone[member.zone], member.name))

    def _voters_per_zone(self) -> Counter[str]:
        return Counter(voter.zone for voter in self._configuration.voters)
