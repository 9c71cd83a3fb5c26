"""Faults of the platform."""

from collections.abc import Awaitable, Callable
from random import Random

from indigoworks_lab.simulation.deployment import PLATFORM_HOST, Deployment
from indigoworks_lab.simulation.deployment_shape import ZONES
from indigoworks_lab.simulation.faults.fault_group import EndFault
from indigoworks_lab.simulation.faults.fault_kind import FaultKind

MAX_DELAY_S = 4.0
MAX_LAG_S = 10.0


class PlatformFaults:
    """Takes the platform down, slows it, loses its answers, cuts it off."""

    def __init__(self, deployment: Deployment, random: Random) -> None:
        self._deployment = deployment
        self._platform = deployment.platform
        self._random = random
        self._beginnings: dict[FaultKind, Callable[[], Awaitable[EndFault]]] = {
            FaultKind.PLATFORM_DOWN: self._take_down,
            FaultKind.PLATFORM_SLOW: self._slow_down,
            FaultKind.PLATFORM_ANSWERS_LOST: self._lose_answers,
            FaultKind.PLATFORM_RATE_LIMITED: self._limit_rate,
            FaultKind.PLATFORM_CUT: self._cut_off,
            FaultKind.MACHINE_LIST_LAGS: self._lag,
        }

    async def begin(self, kind: FaultKind) -> EndFault | None:
        """Begin a fault of the platform."""
        beginning = self._beginnings.get(kind)
        return await beginning() if beginning is not None else None

    async def _take_down(self) -> EndFault:
        self._platform.is_down = True

        async def end() -> None:
            self._platform.is_down = False

        return end

    async def _slow_down(self) -> EndFault:
        self._platform.delay_s = self._random.uniform(0.5, MAX_DELAY_S)

        async def end() -> None:
            self._platform.delay_s = 0.0

        return end

    async def _lose_answers(self) -> EndFault:
        self._deployment.platform_calls.lose_answers_ratio = self._random.uniform(0.2, 0.9)

        async def end() -> None:
            self._deployment.platform_calls.lose_answers_ratio = 0.0

        return end

    async def _limit_rate(self) -> EndFault:
        self._platform.rate_limit_ratio = self._random.uniform(0.2, 0.9)

        async def end() -> None:
            self._platform.rate_limit_ratio = 0.0

        return end

    async def _cut_off(self) -> EndFault:
        hosts = self._deployment.hosts_of_zone(self._random.choice(ZONES))
        network = self._deployment.simulation.network
        for host in hosts:
            network.cut_way(host, PLATFORM_HOST)
            network.cut_way(PLATFORM_HOST, host)

        async def end() -> None:
            for host in hosts:
                network.heal_way(host, PLATFORM_HOST)
                network.heal_way(PLATFORM_HOST, host)

        return end

    async def _lag(self) -> EndFault:
        usual_s = self._platform.machine_list_lag_s
        self._platform.machine_list_lag_s = self._random.uniform(1.0, MAX_LAG_S)

        async def end() -> None:
            self._platform.machine_list_lag_s = min(usual_s, 0.5)

        return end
