"""Freezes of a stand-in back end."""

from indigoworks.common.clock import Clock


class FreezeGate:
    """While frozen, the server answers nothing and runs nothing; its clock goes on."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._until_s = float("-inf")

    def freeze(self, duration_s: float) -> None:
        """Freeze the server for `duration_s` seconds from now."""
        self._until_s = max(self._until_s, self._clock.now() + duration_s)

    async def wait(self) -> None:
        """Wait until the server is not frozen."""
        while (remaining_s := self._until_s - self._clock.now()) > 0:
            await self._clock.sleep(remaining_s)
