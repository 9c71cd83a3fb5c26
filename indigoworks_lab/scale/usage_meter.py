"""Measures windows of a running deployment."""

import asyncio
from dataclasses import dataclass
from statistics import fmean

from indigoworks_lab.scale.process_usage import ProcessUsage, read_usage
from indigoworks_lab.scale.scale_deployment import ScaleDeployment
from indigoworks_lab.scale.scale_stopped import ScaleStopped
from indigoworks_lab.scale.traffic_count import TrafficCount
from indigoworks_lab.scale.usage_window import UsageWindow


@dataclass(frozen=True)
class _Reading:
    """All counters at one moment."""

    at_s: float
    controllers: dict[str, ProcessUsage]
    router_processor_s: float
    routers: TrafficCount
    servers: TrafficCount


class UsageMeter:
    """Reads the counters of controllers and hollow members."""

    def __init__(self, deployment: ScaleDeployment) -> None:
        self._deployment = deployment

    async def window(self, seconds: float) -> UsageWindow:
        """Measure the next `seconds`."""
        started = await self.read()
        await asyncio.sleep(seconds)
        return await self.since(started)

    async def read(self) -> _Reading:
        """Read all counters."""
        deployment = self._deployment
        routers, servers = await asyncio.gather(
            deployment.routers.traffic(), deployment.servers.traffic()
        )
        return _Reading(
            at_s=asyncio.get_running_loop().time(),
            controllers={
                name: read_usage(pid) for name, pid in deployment.controller_pids().items()
            },
            router_processor_s=sum(
                read_usage(link.process.pid).processor_s for link in deployment.routers.links
            ),
            routers=routers,
            servers=servers,
        )

    async def since(self, started: _Reading) -> UsageWindow:
        """Return the rates since an earlier reading."""
        leader = await self._leader()
        ended = await self.read()
        seconds = ended.at_s - started.at_s
        cores = {
            name: (usage.processor_s - started.controllers[name].processor_s) / seconds
            for name, usage in ended.controllers.items()
        }
        memory = {name: usage.resident_bytes for name, usage in ended.controllers.items()}
        router_seconds = self._deployment.point.routers * seconds
        server_seconds = self._deployment.point.servers * seconds
        return UsageWindow(
            seconds=seconds,
            leader_cores=cores[leader],
            follower_cores=fmean(value for name, value in cores.items() if name != leader),
            leader_bytes=memory[leader],
            follower_bytes=fmean(value for name, value in memory.items() if name != leader),
            router_cores=(ended.router_processor_s - started.router_processor_s) / router_seconds,
            router_messages=(ended.routers.exchanges - started.routers.exchanges) / router_seconds,
            router_bytes=_bytes_between(started.routers, ended.routers) / router_seconds,
            server_messages=(ended.servers.exchanges - started.servers.exchanges) / server_seconds,
            server_bytes=_bytes_between(started.servers, ended.servers) / server_seconds,
            failed_polls=ended.routers.failures - started.routers.failures,
        )

    async def _leader(self) -> str:
        health = await self._deployment.admin("GET", "health")
        if health is None or health["leader"] is None:
            raise ScaleStopped("the group has no leader")
        return str(health["leader"]["name"])


def _bytes_between(started: TrafficCount, ended: TrafficCount) -> int:
    received = ended.bytes_to_member - started.bytes_to_member
    return received + ended.bytes_from_member - started.bytes_from_member
