"""Members that the machine list no longer shows."""

from indigoworks.common.address import Address
from indigoworks.common.clock import Clock


class MachineAbsence:
    """Tells a member that the machine list has dropped from one that it does not show yet.

    The list lags, and by different times for different readers. A member that this reader has
    seen in the list and no longer sees has been dropped. For one that only another reader has
    seen, that is certain only after the longest lag.
    """

    def __init__(self, clock: Clock, longest_lag_s: float) -> None:
        self._clock = clock
        self._longest_lag_s = longest_lag_s
        self._seen: set[str] = set()
        self._absent_since_s: dict[str, float] = {}

    def is_dropped(self, incarnation: str, address: Address, listed: frozenset[Address]) -> bool:
        """Tell whether the list has dropped the member, and note what it shows now."""
        if address in listed:
            self._seen.add(incarnation)
            self._absent_since_s.pop(incarnation, None)
            return False
        now_s = self._clock.now()
        since_s = self._absent_since_s.setdefault(incarnation, now_s)
        return incarnation in self._seen or now_s - since_s > self._longest_lag_s
