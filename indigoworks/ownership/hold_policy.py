"""For how long keys are granted."""

from indigoworks.rowstore.store_health import StoreHealth

HOLD_S = 3.0
"""Hold while the store is sound: a dark server's keys are served again after about so long."""

RENEWAL_S = 0.5
"""Time between two renewals."""

STORE_TROUBLE_S = 1.3
"""Age of the store's last word to the leader from which holds are made as long as servers accept:
without the store no other leader can be found and nothing can move, and keys are to outlast this
leader. A leader hears from a sound store more often (see LEADER_WAIT_S)."""


class HoldPolicy:
    """Short holds while the store is sound; while it is not, the longest ones for sound servers."""

    def __init__(self, health: StoreHealth, hold_max_s: float) -> None:
        self._health = health
        self._hold_max_s = hold_max_s
        self._longest_max_s = hold_max_s

    def set_hold_max(self, hold_max_s: float) -> None:
        """Grant for at most so long from now on; grants that were sent keep their own hold."""
        self._hold_max_s = hold_max_s
        self._longest_max_s = max(self._longest_max_s, hold_max_s)

    @property
    def longest_max_s(self) -> float:
        """Return the longest hold that servers accept or did since this process began, in seconds.

        Grants under a longer earlier one may still hold.
        """
        return self._longest_max_s

    def hold_s(self, is_doubtful: bool) -> float:
        """Return the hold of a grant that is sent now, in seconds.

        :param is_doubtful: the server may leave the grant unanswered and take it late: its keys
            would be bound for the time until then and for the hold.
        """
        if not is_doubtful and self._health.proof_age_s() > STORE_TROUBLE_S:
            return self._hold_max_s
        return min(HOLD_S, self._hold_max_s)
