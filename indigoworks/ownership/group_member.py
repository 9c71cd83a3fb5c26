"""A process as member of a control group: follower, challenger or leader."""

from collections.abc import Callable

from indigoworks.common.clock import Clock
from indigoworks.ownership.group_leader import GroupLeader
from indigoworks.ownership.leadership import Leadership

WATCH_PERIOD_S = 0.1
"""Time between two checks of the leader's liveness."""


class GroupMember:
    """Watches the leader, challenges a lost one, and leads while the row names this process."""

    def __init__(
        self, leadership: Leadership, make_leader: Callable[[], GroupLeader], clock: Clock
    ) -> None:
        self._leadership = leadership
        self._make_leader = make_leader
        self._clock = clock

    async def run(self) -> None:
        """Follow, challenge and lead until cancelled."""
        while True:
            await self._leadership.wait_for_change(WATCH_PERIOD_S)
            await self._leadership.challenge_if_lost()
            # The row decides, not the answer to the challenge: the answer may be lost, or the store
            # may apply the write seconds later.
            if self._leadership.is_named():
                await self._make_leader().run(self._leadership.previous_leader_row())
