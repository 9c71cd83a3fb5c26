"""Reasons to challenge a leader."""

from indigoworks.common.clock import Clock
from indigoworks.exchange.peer_directory import PeerDirectory
from indigoworks.ownership.leader_lease import LEADER_LEASE_S
from indigoworks.ownership.leader_liveness import LeaderLiveness
from indigoworks.ownership.leader_row import LeaderRow
from indigoworks.rowstore.store_version import NO_VERSION

MAX_LEADER_PROOF_AGE_S = 1.8
"""A leader that reports an older proof of leadership is challenged: it gets a new one every 0.8 s,
and may be late by as long as a leader may be silent (LEADER_SILENCE_S). If nobody reaches the
store, the challenge itself fails."""

LEADER_SILENCE_S = 1.0
"""A leader is challenged when neither this process nor a live peer has heard it for this long."""

GIVEN_UP = "given_up"
"""Reason to challenge a leader that has resigned or handed over."""

FORMER_LEADER_PRIORITY_S = 1.5
"""In a new era other processes wait this long for a former leader that is alive: the longest pause
between its calls to a store that did not answer."""


class ChallengeReasons:
    """Decides on challenges by the leader row and the leader's liveness; None: no challenge."""

    def __init__(
        self, node: str, liveness: LeaderLiveness, directory: PeerDirectory, clock: Clock
    ) -> None:
        self._node = node
        self._liveness = liveness
        self._directory = directory
        self._clock = clock

    def for_missing_row(self, former: LeaderRow, era: int, era_seen_s: float) -> str | None:
        """Return a reason to be the first leader of an era.

        :param former: the newest known row of an earlier era.
        :param era_seen_s: clock reading at which this process learnt of the era.
        """
        is_early = self._clock.now() - era_seen_s < FORMER_LEADER_PRIORITY_S
        is_awaited = is_early and era > 0 and self._may_be_alive(former, era_seen_s)
        return None if is_awaited else "no_row"

    def for_row(self, row: LeaderRow, row_seen_s: float) -> str | None:
        """Return a reason to replace the leader that a row, first seen at `row_seen_s`, names."""
        if row.node == "":
            return GIVEN_UP
        if row.node == self._node:
            return "own_earlier_boot"
        boot = self._directory.boot_of(row.node)
        if boot is not None and boot != row.boot:
            return "later_boot"
        silence_s = self._liveness.silence_s(row.epoch, row_seen_s)
        if self._liveness.reports_old_proof(row.epoch, MAX_LEADER_PROOF_AGE_S):
            return "leader_without_store"
        if self._liveness.hears_peers():
            return "silent" if silence_s > LEADER_SILENCE_S else None
        row_age_s = self._clock.now() - row_seen_s
        return "silent_alone" if min(silence_s, row_age_s) > LEADER_LEASE_S else None

    def _may_be_alive(self, former: LeaderRow, era_seen_s: float) -> bool:
        """Return whether the former leader is alive, or peers that are alive may know of one."""
        if former.version == NO_VERSION or former.node == self._node:
            return self._liveness.hears_peers()
        silence_s = self._liveness.silence_s(former.epoch, era_seen_s - LEADER_SILENCE_S)
        return former.node != "" and silence_s < LEADER_SILENCE_S
