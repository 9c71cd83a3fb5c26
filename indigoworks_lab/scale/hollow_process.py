"""A process of hollow members: python -m indigoworks_lab.scale.hollow_process KIND ..."""

import asyncio
import json
import sys

import fire
from eliot import to_file

from indigoworks.common.clock import LoopClock
from indigoworks.platform.machine_record import MachineRecord
from indigoworks_lab.scale.hollow_control import HollowPart, control_application
from indigoworks_lab.scale.hollow_routers import HollowRouters
from indigoworks_lab.scale.hollow_servers import HollowServers

LOOPBACK = "127.0.0.1"


class HollowProcess:
    """The two kinds of hollow processes; each runs until it is killed."""

    def routers(self, first: int, count: int, control_port: int, controllers_file: str) -> None:
        """Run hollow routers.

        :param controllers_file: JSON list of the machine records of the controllers.
        """
        with open(controllers_file, encoding="utf-8") as file:
            records = [MachineRecord(**each) for each in json.load(file)]
        asyncio.run(_run_routers(first, count, control_port, records))

    def servers(self, first: int, count: int, control_port: int, port: int) -> None:
        """Run hollow back ends, all on the TCP port `port` of IP numbers of their own."""
        asyncio.run(_run_servers(first, count, control_port, port))


async def _run_routers(
    first: int, count: int, control_port: int, controllers: list[MachineRecord]
) -> None:
    await _serve(HollowRouters(first, count, controllers, LoopClock()), control_port)


async def _run_servers(first: int, count: int, control_port: int, port: int) -> None:
    part = HollowServers(first, count, port, LoopClock())
    await part.start()
    await _serve(part, control_port)


async def _serve(part: HollowPart, control_port: int) -> None:
    control_application(part).listen(control_port, LOOPBACK)
    await part.run()


if __name__ == "__main__":
    to_file(sys.stdout)
    fire.Fire(HollowProcess())
