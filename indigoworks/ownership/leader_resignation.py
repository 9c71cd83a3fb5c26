"""Giving up the leadership: for good when the process stops, or for now to a better leader."""

from collections.abc import Awaitable, Callable

from indigoworks.common.clock import Clock

HANDOVER_PAUSE_S = 2.0
"""Time for which a process that handed the leadership over leaves it to others."""

HANDOVER_RETRY_S = 0.2

GiveUpRow = Callable[[str], Awaitable[bool]]
"""Writes a leader row that names nobody, for a reason; returns whether the store took it."""


class LeaderResignation:
    """Which epochs this process has given up.

    It stops acting at once, before the row is written: nobody else may act before that, and orders
    under way are known to the witnesses as at any change of leader.

    :param give_up_row: called while the row names this process.
    """

    def __init__(self, give_up_row: GiveUpRow, clock: Clock) -> None:
        self._give_up_row = give_up_row
        self._clock = clock
        self._is_resigned = False
        self._handed_over_epoch: int | None = None
        self._handed_over_s = float("-inf")

    async def resign(self, is_named: bool) -> None:
        """Give up the leadership for good, so that others can take over at once."""
        self._is_resigned = True
        if is_named:
            await self._give_up_row("stops")

    async def hand_over(self, epoch: int, reason: str, is_named_for: Callable[[int], bool]) -> None:
        """Give up an epoch; returns once the row no longer names this process for it."""
        self._handed_over_epoch = epoch
        self._handed_over_s = self._clock.now()
        is_written = False
        while is_named_for(epoch):
            is_written = is_written or await self._give_up_row(reason)
            await self._clock.sleep(HANDOVER_RETRY_S)

    def is_given_up(self, epoch: int) -> bool:
        """Return whether this process acts no more as leader of an epoch."""
        return self._is_resigned or self._handed_over_epoch == epoch

    def bars_challenge(self) -> bool:
        """Return whether this process leaves the leadership to others now."""
        return self._is_resigned or self._clock.now() - self._handed_over_s < HANDOVER_PAUSE_S
