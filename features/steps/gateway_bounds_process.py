"""A gateway in a process of its own, whose memory and turns of the event loop are measured.

Arguments: ports of the servers of service `shop`, a comma, and that of the server of `other`.
For each line on its input it writes what it measured since the line before.
"""

import asyncio
import gc
import json
import sys
import threading
import time

from gateway_world import (
    HOST,
    GatewayWorld,
    make_configuration,
    make_record,
    make_route,
    make_service,
)

from indigoworks.common.address import Address


def memory_bytes(field: str) -> int:
    with open("/proc/self/status") as file:
        (line,) = [each for each in file if each.startswith(field)]
    return int(line.split()[1]) * 1024


def forget_peak() -> None:
    """Let VmHWM count from now on."""
    with open("/proc/self/clear_refs", "w") as file:
        file.write("5")


class MeasuredLoop(asyncio.SelectorEventLoop):
    """:ivar longest_s: most processor time of one turn; waiting for events takes none."""

    longest_s = 0.0

    def _run_once(self):
        began_s = time.thread_time()
        super()._run_once()
        self.longest_s = max(self.longest_s, time.thread_time() - began_s)


async def main(loop, ports: str) -> None:
    endless, _, other = ports.partition(",")
    world = GatewayWorld()
    world.side.front.start()
    routes = (
        make_route(is_repeatable=False, timeout_s=8.0, aim_s=8.0),
        make_route("o", "/o/", ("other",), timeout_s=60.0),
    )
    services = (make_service(), make_service("other"))
    world.platform.configurations.put_in_force(make_configuration(1, *routes, services=services))
    for index, port in enumerate(endless.split("+")):
        address = Address(HOST, int(port))
        world.platform.servers.put(make_record(f"e{index}", address, slots=64))
    record = make_record("o", Address(HOST, int(other)), service="other", slots=64)
    world.platform.servers.put(record)
    print(world.address.port, flush=True)
    before = 0
    lines = asyncio.Queue()

    def read() -> None:
        for line in sys.stdin:
            loop.call_soon_threadsafe(lines.put_nowait, line)
        loop.call_soon_threadsafe(lines.put_nowait, "")

    threading.Thread(target=read, daemon=True).start()
    while await lines.get():
        measured = {"growth": memory_bytes("VmHWM") - before, "turn_s": loop.longest_s}
        print(json.dumps(measured), flush=True)
        forget_peak()
        before = memory_bytes("VmRSS")
        loop.longest_s = 0.0


if __name__ == "__main__":
    measured_loop = MeasuredLoop()
    asyncio.set_event_loop(measured_loop)
    # As a gateway's process does, which spends no time on the modules in its collections.
    gc.freeze()
    measured_loop.run_until_complete(main(measured_loop, sys.argv[1]))
