"""How often the leader renews the grants of a server."""

import math
import zlib
from collections.abc import Callable
from typing import Protocol

from indigoworks.common.clock import Clock
from indigoworks.ownership.hold_bounds import HoldBounds
from indigoworks.ownership.hold_policy import RENEWAL_S, STORE_TROUBLE_S
from indigoworks.ownership.ownership_table import KEY_COUNT
from indigoworks.ownership.server_reach import ServerReach
from indigoworks.rowstore.store_health import StoreHealth

RANGES_PER_STEP = 40
"""The interval grows by RENEWAL_S for each so many ranges: up to 80 orders a second are about a
tenth of a core."""

MAX_STEPS = 3
"""Longest interval in steps of RENEWAL_S. After 1.5 s, half of a hold of 3 s is left: for one
retry after an order that stays unanswered for 0.8 s, or for a successor of a lost leader."""

MAX_INTERVAL_S = MAX_STEPS * RENEWAL_S

MIN_PAUSE_S = 0.001
"""Shortest pause between two looks, and the precision of the times of renewals."""


class RenewalSchedule(Protocol):
    """Chooses the interval between renewals."""

    def steps(self, server_id: str) -> int:
        """Return the interval between renewals of a server's grants as a multiple of RENEWAL_S."""
        ...


class FixedSchedule:
    """Renews every grant after RENEWAL_S."""

    def steps(self, server_id: str) -> int:
        """Return 1."""
        return 1


FIXED_SCHEDULE = FixedSchedule()


class GrowingSchedule:
    """Renews the grants of many ranges less often, as each renewal is an order of its own.

    Renewals also show that a server stands still, and give it a longer hold in trouble of the
    store. Both are as quick as with few ranges where they count: the interval is the shortest one
    while the store is in trouble, and for a server that may yet apply an order which it has not
    answered, since the bound of that order depends on how soon a silence is noticed
    (`ServerReach.last_silence_s`).

    :param range_count: returns the number of ranges that this leader grants.
    """

    def __init__(
        self,
        health: StoreHealth,
        bounds: HoldBounds,
        reach: ServerReach,
        clock: Clock,
        range_count: Callable[[], int],
    ) -> None:
        self._health = health
        self._bounds = bounds
        self._reach = reach
        self._clock = clock
        self._range_count = range_count

    def steps(self, server_id: str) -> int:
        """Return the interval between renewals of a server's grants as a multiple of RENEWAL_S."""
        if self._range_count() <= RANGES_PER_STEP:
            return 1
        if self._health.proof_age_s() > STORE_TROUBLE_S or self._may_apply_late(server_id):
            return 1
        return min(MAX_STEPS, math.ceil(self._range_count() / RANGES_PER_STEP))

    def _may_apply_late(self, server_id: str) -> bool:
        """Return whether the server may yet apply an order of this leader or of earlier ones.

        Earlier leaders' orders count for MAX_INTERVAL_S beyond their bound, so that a silence that
        begins before its end is still noticed as soon as it was.
        """
        if self._reach.is_doubtful(server_id):
            return True
        if self._bounds.may_apply_late(server_id, 0, KEY_COUNT - 1):
            return True
        until_s = self._bounds.server_predecessor_until_s(server_id) + MAX_INTERVAL_S
        return self._clock.now() <= until_s


def until_renewal_s(server_id: str, now_s: float, steps: int) -> float:
    """Return the pause from `now_s` until the server's next renewal.

    All ranges of a server are renewed together. Servers are spread over the interval, and those
    times of longer intervals are among those of the shortest one.
    """
    digest = zlib.crc32(server_id.encode())
    phase_s = digest % 1000 / 1000 * RENEWAL_S + digest // 1000 % steps * RENEWAL_S
    interval_s = steps * RENEWAL_S
    left_s = interval_s - (now_s - phase_s) % interval_s
    # After rounding, the pause may be below the clock's resolution: in simulations, where time
    # passes only in sleeps, this would loop at the same instant for ever.
    return max(MIN_PAUSE_S, left_s)
