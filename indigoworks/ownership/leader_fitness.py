"""Whether this process should lead, given which servers its orders would reach."""

from collections.abc import Callable, Collection

from indigoworks.common.clock import Clock
from indigoworks.ownership.leadership import Leadership
from indigoworks.ownership.server_reach import ServerReach
from indigoworks.reach.reach_subsystem import ReachSubsystem

CHECK_PERIOD_S = 0.1
FOLLOWER_CHECK_PERIOD_S = 0.5
"""Time until a process that does not lead looks again whether it does. A challenger has tested its
path just before, so the first check as leader may come this late."""


MIN_REACHED_BY_PEERS = 2
MIN_SHARE_REACHED_BY_PEERS = 1 / 3
"""A leader hands over when it does not reach so many of the owners, as a number and as a share, and
peers do: fewer lose their keys to other owners sooner than a new leader grants them."""

PARTIAL_REACH_DELAY_S = 0.6
"""Longest extra delay of a challenger that does not reach all servers of a sample, so that one that
does comes first."""

NOBODY_REACHES_S = 1.5
"""Time after which a process without a path leads if no peer is known to reach a server."""


class LeaderFitness:
    """Keeps processes without a path to servers from leading while a peer has one.

    A leader holds its lease at the store and is heard by its peers whether or not its orders reach
    anybody; without this, all keys end with their holds until its path is back.

    :param owners: returns the ids of the servers that own keys.
    """

    def __init__(
        self,
        leadership: Leadership,
        orders: ServerReach,
        reach: ReachSubsystem,
        owners: Callable[[], Collection[str]],
        clock: Clock,
    ) -> None:
        self._leadership = leadership
        self._orders = orders
        self._reach = reach
        self._owners = owners
        self._clock = clock

    async def run(self) -> None:
        """Hand the leadership over whenever a peer should lead; runs until cancelled."""
        while True:
            is_named = self._leadership.is_named()
            await self._clock.sleep(CHECK_PERIOD_S if is_named else FOLLOWER_CHECK_PERIOD_S)
            if self._leadership.may_act() and self._should_hand_over():
                await self._leadership.hand_over("out_of_reach")

    async def may_lead(self, is_given_up: bool) -> bool:
        """Return whether this process may challenge now; tests connections to a few servers.

        :param is_given_up: the leader gave up: whoever reaches all of the sample comes first.
        """
        if is_given_up:
            share = await self._reach.path.accepting_share()
            await self._clock.sleep((1 - share) * PARTIAL_REACH_DELAY_S)
        if await self._reach.path.reaches_any():
            return True
        return (
            not self._reach.peers.any_reaches() and self._reach.path.lost_for_s() > NOBODY_REACHES_S
        )

    def _should_hand_over(self) -> bool:
        owners = self._owners()
        if self._reach.path.is_lost:
            return self._reach.peers.count_reached(owners) > 0
        failing = self._orders.suspect_servers().intersection(owners)
        needed = max(MIN_REACHED_BY_PEERS, MIN_SHARE_REACHED_BY_PEERS * len(owners))
        return len(failing) >= needed and self._reach.peers.count_reached(failing) >= needed
