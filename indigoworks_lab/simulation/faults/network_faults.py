"""Faults of the network: cuts, slow hosts, late messages, lost answers."""

from collections.abc import Awaitable, Callable
from random import Random

from indigoworks_lab.simulation.core.faulty_network import Way
from indigoworks_lab.simulation.core.remote_call import RemoteCall
from indigoworks_lab.simulation.deployment import Deployment
from indigoworks_lab.simulation.deployment_shape import ZONES
from indigoworks_lab.simulation.faults.fault_group import EndFault
from indigoworks_lab.simulation.faults.fault_kind import FaultKind

MAX_SLOW_S = 0.5
MAX_LATE_S = 2.5
LATE_RATIO = 0.05
LOST_ANSWERS_RATIO = 0.3


class NetworkFaults:
    """Cuts ways between hosts or zones, and delays messages."""

    def __init__(self, deployment: Deployment, random: Random) -> None:
        self._deployment = deployment
        self._network = deployment.simulation.network
        self._random = random
        self._beginnings: dict[FaultKind, Callable[[], Awaitable[EndFault]]] = {
            FaultKind.ZONE_CUT: self._cut_zone,
            FaultKind.ZONE_CUT_ONE_WAY: self._cut_zone_one_way,
            FaultKind.HOST_CUT: self._cut_host,
            FaultKind.HOST_CUT_ONE_WAY: self._cut_host_one_way,
            FaultKind.LINK_CUT_ONE_WAY: self._cut_link,
            FaultKind.HOST_SLOW: self._slow_host,
            FaultKind.MESSAGES_LATE: self._delay_messages,
            FaultKind.RENEWAL_ANSWERS_LOST: self._lose_renewal_answers,
            FaultKind.REQUEST_ANSWERS_LOST: self._lose_request_answers,
        }

    async def begin(self, kind: FaultKind) -> EndFault | None:
        """Begin a fault of the network."""
        beginning = self._beginnings.get(kind)
        return await beginning() if beginning is not None else None

    async def _cut_zone(self) -> EndFault:
        inside, outside = self._split_zone()
        return self._cut(_ways(inside, outside) + _ways(outside, inside))

    async def _cut_zone_one_way(self) -> EndFault:
        inside, outside = self._split_zone()
        if self._random.random() < 0.5:
            inside, outside = outside, inside
        return self._cut(_ways(inside, outside))

    async def _cut_host(self) -> EndFault:
        inside, outside = self._split_host()
        return self._cut(_ways(inside, outside) + _ways(outside, inside))

    async def _cut_host_one_way(self) -> EndFault:
        inside, outside = self._split_host()
        if self._random.random() < 0.5:
            inside, outside = outside, inside
        return self._cut(_ways(inside, outside))

    async def _cut_link(self) -> EndFault:
        source, target = self._random.sample(self._network.hosts, 2)
        return self._cut([(source, target)])

    async def _slow_host(self) -> EndFault:
        host = self._random.choice(self._network.hosts)
        self._network.slow_down(host, self._random.uniform(0.02, MAX_SLOW_S))

        async def end() -> None:
            self._network.slow_down(host, 0)

        return end

    async def _delay_messages(self) -> EndFault:
        self._network.late_ratio = self._random.uniform(0, LATE_RATIO)
        self._network.max_late_s = self._random.uniform(0.1, MAX_LATE_S)

        async def end() -> None:
            self._network.late_ratio = 0.0

        return end

    async def _lose_renewal_answers(self) -> EndFault:
        return self._lose_answers(self._deployment.control_calls)

    async def _lose_request_answers(self) -> EndFault:
        return self._lose_answers(self._deployment.request_calls)

    def _lose_answers(self, calls: RemoteCall) -> EndFault:
        calls.lose_answers_ratio = self._random.uniform(0.05, LOST_ANSWERS_RATIO)

        async def end() -> None:
            calls.lose_answers_ratio = 0.0

        return end

    def _split_zone(self) -> tuple[list[str], list[str]]:
        inside = self._deployment.hosts_of_zone(self._random.choice(ZONES))
        return inside, [host for host in self._network.hosts if host not in inside]

    def _split_host(self) -> tuple[list[str], list[str]]:
        hosts = self._network.hosts
        host = self._random.choice(hosts)
        return [host], [other for other in hosts if other != host]

    def _cut(self, ways: list[Way]) -> EndFault:
        for source, target in ways:
            self._network.cut_way(source, target)

        async def heal() -> None:
            for source, target in ways:
                self._network.heal_way(source, target)

        return heal


def _ways(sources: list[str], targets: list[str]) -> list[Way]:
    return [(source, target) for source in sources for target in targets]
