"""Why a leader is challenged."""

from indigoworks.common.clock import Clock
from indigoworks.exchange.peer_directory import PeerDirectory
from indigoworks.ownership.leader_lease import LEADER_LEASE_S
from indigoworks.ownership.leader_liveness import LeaderLiveness
from indigoworks.ownership.leader_row import LeaderRow
from indigoworks.rowstore.store_version import NO_VERSION

SICK_LEADER_S = 1.8
"""A leader that tells of an older proof is challenged: it has a new one every 0.8 s, and may be
without one for as long as a leader may be silent (SILENCE_S) beyond that. Where the store is out
for all, the challenge itself fails."""

SILENCE_S = 1.0
"""A leader of which nobody heard for so long is challenged."""

FORMER_LEADER_FIRST_S = 1.5
"""In a new era the others leave the leadership to a former leader that is heard for so long: that
is the longest pause between its calls to a store that did not answer."""


class ChallengeReasons:
    """Reasons by what the leader's row says and by signs of life; None: the leader is to stay."""

    def __init__(
        self, node: str, signs: LeaderLiveness, directory: PeerDirectory, clock: Clock
    ) -> None:
        self._node = node
        self._signs = signs
        self._directory = directory
        self._clock = clock

    def for_missing_row(self, former: LeaderRow, era: int, era_seen_s: float) -> str | None:
        """Return a reason to be the first leader of an era.

        :param former: the newest known row of an earlier era.
        :param era_seen_s: clock reading at which this process learnt of the era.
        """
        is_early = self._clock.now() - era_seen_s < FORMER_LEADER_FIRST_S
        is_awaited = is_early and era > 0 and self._may_hear_of(former, era_seen_s)
        return None if is_awaited else "no_row"

    def for_row(self, row: LeaderRow, row_seen_s: float) -> str | None:
        """Return a reason to replace the leader of a row that was first seen at `row_seen_s`."""
        if row.node == "":
            return "given_up"
        if row.node == self._node:
            return "own_earlier_boot"
        boot = self._directory.boot_of(row.node)
        if boot is not None and boot != row.boot:
            return "later_boot"
        silence_s = self._signs.silence_s(row.epoch, row_seen_s)
        if self._signs.reports_old_proof(row.epoch, SICK_LEADER_S):
            return "leader_without_store"
        if self._signs.hears_peers():
            return "silent" if silence_s > SILENCE_S else None
        row_age_s = self._clock.now() - row_seen_s
        return "silent_alone" if min(silence_s, row_age_s) > LEADER_LEASE_S else None

    def _may_hear_of(self, former: LeaderRow, era_seen_s: float) -> bool:
        """Tell whether the leader of the former era is heard, or may be known to those who are."""
        if former.version == NO_VERSION or former.node == self._node:
            return self._signs.hears_peers()
        silence_s = self._signs.silence_s(former.epoch, era_seen_s - SILENCE_S)
        return former.node != "" and silence_s < SILENCE_S
