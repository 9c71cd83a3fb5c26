"""Requests of callers."""

import asyncio

from indigoworks.ownership.ownership_table import KEY_COUNT
from indigoworks_lab.control_simulation.control_deployment import ControlDeployment
from indigoworks_lab.control_simulation.work_lengths import draw_work_s

REQUESTS_PER_S = 45.0
HOT_SHARE = 0.6
HOT_WIDTH = 3000
HOT_CHANGE_S = 9.0


class RequestLoad:
    """Random keys at random nodes; a range that is hot moves on every HOT_CHANGE_S."""

    def __init__(
        self, deployment: ControlDeployment, requests_per_s: float = REQUESTS_PER_S
    ) -> None:
        self._deployment = deployment
        self._requests_per_s = requests_per_s
        self._random = deployment.random("load")
        self._hot_first = 0
        self._hot_until_s = 0.0

    async def run(self) -> None:
        """Send requests for ever."""
        while True:
            await asyncio.sleep(self._random.expovariate(self._requests_per_s))
            nodes = self._deployment.living_nodes()
            key, duration_s = self._key(), draw_work_s(self._random)
            if nodes:
                self._random.choice(nodes).request(key, duration_s)

    def _key(self) -> int:
        now_s = self._deployment.loop.time()
        if now_s >= self._hot_until_s:
            self._hot_first = self._random.randrange(KEY_COUNT - HOT_WIDTH)
            self._hot_until_s = now_s + HOT_CHANGE_S
        if self._random.random() < HOT_SHARE:
            return self._hot_first + self._random.randrange(HOT_WIDTH)
        return self._random.randrange(KEY_COUNT)
