"""Open connections of gateways go silent for good."""

import asyncio

from indigoworks_lab.gateway_soak.disturbed_world import DisturbedWorld
from indigoworks_lab.gateway_soak.key_plan_event import KeyPlanEvent

MAX_SILENCES = 3
SILENT_SERVERS_SHARE = 0.5


class SilentConnectionsEvent:
    """Silences connections to the store, at times to servers too, up to three times in a row."""

    def __init__(self, world: DisturbedWorld) -> None:
        self._world = world

    async def play(self, event: KeyPlanEvent) -> None:
        """Silence what is open, and again what has been opened since."""
        links = [self._world.store_link]
        if event.draws[1] < SILENT_SERVERS_SHARE:
            links += [each.link for each in self._world.servers]
        for _ in range(1 + int(event.draws[0] * MAX_SILENCES)):
            for link in links:
                link.silence_open()
            await asyncio.sleep(event.duration_s)
