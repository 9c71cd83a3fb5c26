"""All hollow back ends of one process."""

import asyncio
import os
from collections.abc import Sequence
from random import Random
from typing import Any

from indigoworks.common.clock import Clock
from indigoworks_lab.backend.stand_in_identity import StandInIdentity
from indigoworks_lab.backend.stand_in_profile import StandInProfile
from indigoworks_lab.backend.stand_in_server import StandInServer
from indigoworks_lab.scale.hollow_server import HollowServer
from indigoworks_lab.scale.kill_report import KillReport
from indigoworks_lab.scale.member_names import server_address, server_name, zone_name
from indigoworks_lab.scale.scale_point import service_name
from indigoworks_lab.scale.traffic_count import TrafficCount

INCARNATION_BYTES = 8


class HollowServers:
    """Runs the back ends `first` to `first + count - 1` of a scale run, all on one port."""

    def __init__(self, first: int, count: int, port: int, clock: Clock) -> None:
        self.traffic = TrafficCount()
        self._first = first
        self._port = port
        self._servers = {
            server_name(index): HollowServer(_stand_in(index, clock), self.traffic)
            for index in range(first, first + count)
        }

    async def start(self) -> None:
        """Listen.

        :raises OSError: an address cannot be bound.
        """
        for offset, server in enumerate(self._servers.values()):
            await server.start(server_address(self._first + offset, self._port))

    async def run(self) -> None:
        """Serve until cancelled."""
        await asyncio.Event().wait()

    def kill(self, names: Sequence[str]) -> KillReport:
        """Kill back ends."""
        killed_s = asyncio.get_running_loop().time()
        for name in names:
            self._servers[name].kill()
        return KillReport(killed_s, {name: self._servers[name].lease_ends_s for name in names})

    def state(self) -> dict[str, Any]:
        """Return the counts, for the process that steers the run."""
        return {"servers": len(self._servers), "traffic": self.traffic.to_json()}


def _stand_in(index: int, clock: Clock) -> StandInServer:
    incarnation = os.urandom(INCARNATION_BYTES).hex()
    identity = StandInIdentity(
        server_name(index), incarnation, service_name(index), zone_name(index)
    )
    return StandInServer(identity, StandInProfile(), clock, Random(index))
