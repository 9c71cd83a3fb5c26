"""How long keys are granted for."""

from indigoworks.rowstore.store_health import StoreHealth

HOLD_S = 3.0
"""Hold while the store is healthy; keys of a lost server are unavailable for about this long."""

RENEWAL_S = 0.5
"""Time between two renewals of a grant."""

STORE_TROUBLE_S = 1.3
"""When the store's last answer to the leader is older than this, holds are as long as servers
accept: without the store there can be no new leader and no move, so keys must stay held if this
leader ends. A healthy store answers the leader more often (see LEADER_WAIT_S)."""


class HoldPolicy:
    """Chooses short holds while the store is healthy, else long ones for servers that answer."""

    def __init__(self, health: StoreHealth, hold_max_s: float) -> None:
        self._health = health
        self._hold_max_s = hold_max_s
        self._longest_max_s = hold_max_s

    def set_hold_max(self, hold_max_s: float) -> None:
        """Set the longest hold of future grants; grants already sent keep theirs."""
        self._hold_max_s = hold_max_s
        self._longest_max_s = max(self._longest_max_s, hold_max_s)

    @property
    def longest_max_s(self) -> float:
        """Return the largest maximum hold since this process started, in seconds.

        Grants made under an earlier, larger maximum may still hold.
        """
        return self._longest_max_s

    def hold_s(self, is_doubtful: bool) -> float:
        """Return the hold of a grant that is sent now, in seconds.

        :param is_doubtful: the server may not answer and apply the grant late: nobody else could be
            given its keys until then, and for the hold after that.
        """
        if not is_doubtful and self._health.proof_age_s() > STORE_TROUBLE_S:
            return self._hold_max_s
        return min(HOLD_S, self._hold_max_s)
