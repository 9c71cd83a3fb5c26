"""A small deployment: a store, targets, an operator and gateways as separate processes."""

import asyncio
import os
import signal
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from fleet import Folder, Gateway, configuration
from stand_in_target import Target
from store import Store

HELD_TIMEOUT_S = 30.0
STEP = 1024
"""Keys are looked at in steps."""

HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit codes of a case."""


class CaseCannotRun(Exception):
    """The deployment did not come up, or the disruption did not come about."""


class World:
    """Starts everything on loopback, and ends it.

    :ivar record: lines of record.txt, with the seconds since the start.
    """

    def __init__(self, routes: list[dict], services: dict[str, bool]) -> None:
        self.routes, self.services = routes, services
        self.store = Store()
        self.targets: list[Target] = []
        self.gateways: list[Gateway] = []
        self.folder = Folder()
        self.started_s = time.monotonic()
        self.record: list[str] = []

    def note(self, text: str) -> None:
        """Record a line."""
        self.record.append(f"{time.monotonic() - self.started_s:8.3f} {text}")

    async def start(self, targets: list[Target], gateways: int, zones: int = 3, **settings) -> None:
        """Start targets and gateways, and wait until these are ready."""
        await self.store.start()
        self.targets = targets
        for target in targets:
            target.store = self.store
            target.born = 1
            await target.start()
        self.configure()
        for number in range(gateways):
            zone = f"z{number % zones + 1}"
            host = f"127.0.0.{11 + number}"
            gateway = Gateway(
                f"g{number}", host, zone, self.store.address, self.folder.path, **settings
            )
            self.gateways.append(gateway)
            gateway.start()
        for gateway in self.gateways:
            if not await gateway.wait_ready():
                raise CaseCannotRun(f"{gateway.name} is not ready")
        self.note("all gateways are ready")

    def configure(self) -> None:
        """Write the configuration as the operator does."""
        self.store.put("op", "config", configuration(3, self.routes, self.services))

    async def wait_for_holders(self) -> None:
        """Wait until each key has a holder."""
        until_s = time.monotonic() + HELD_TIMEOUT_S
        while not all(self.holder(key) for key in range(0, 65536, STEP)):
            if time.monotonic() > until_s:
                raise CaseCannotRun("keys have no holder")
            await asyncio.sleep(0.1)

    def holder(self, key: int) -> Target | None:
        """Return a target that holds a key now."""
        return next((each for each in self.targets if each.holds(key)), None)

    def since_start(self, at_s: float) -> float:
        """Return a reading of the clock as seconds since the start."""
        return at_s - self.started_s

    def kill_all(self) -> None:
        """Kill all gateways at the same moment."""
        for gateway in self.gateways:
            gateway.send(signal.SIGKILL)
        self.note("all gateways are killed")

    def start_all(self) -> None:
        """Start the gateways again."""
        for gateway in self.gateways:
            gateway.end()
            gateway.start()
        self.note("all gateways are started again")

    def end(self) -> None:
        """End all processes and remove the folder."""
        for gateway in self.gateways:
            gateway.end()
        for target in self.targets:
            target.crash()
        self.folder.remove()


def run_case(
    folder: Path, world: World, play: Callable[[World, bool], Awaitable[list[str]]]
) -> int:
    """Play a case, write record.txt, and return the exit code.

    :param play: gets whether the disruption is to be made; returns the breaches of the rule.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> list[str]:
        try:
            return await play(world, trouble)
        finally:
            world.end()

    try:
        breaches = asyncio.run(run())
        result = BROKEN if breaches else HELD
    except (CaseCannotRun, OSError) as error:
        breaches, result = [f"not run: {error}"], NOT_RUN
    first = f"disruption: {'yes' if trouble else 'no'}; exit code {result}"
    notes = [(at_s, text) for target in world.targets for at_s, text in target.notes]
    lines = [(float(line[:8]), line[9:]) for line in world.record]
    lines += [(at_s - world.started_s, text) for at_s, text in notes]
    text = [f"{at_s:8.3f} {line}" for at_s, line in sorted(lines)]
    (folder / "record.txt").write_text("\n".join([first, *breaches, "", *text, ""]))
    print("\n".join([first, *breaches[:10]]))
    return result
