"""The configuration in force in a process never goes back to an older version."""

import asyncio
from collections.abc import Callable, Iterable

from indigoworks_lab.control_simulation.simulated_node import SimulatedNode
from indigoworks_lab.control_simulation.violation_list import ViolationList

CHECKER = "configuration"
PERIOD_S = 0.05


class ConfigurationChecker:
    """Remembers the newest version that each life of a node had in force."""

    def __init__(
        self, nodes: Callable[[], Iterable[SimulatedNode]], violations: ViolationList
    ) -> None:
        self._nodes = nodes
        self._violations = violations
        self._newest: dict[str, int] = {}

    async def run(self) -> None:
        """Look at all nodes, for ever."""
        while True:
            for node in self._nodes():
                version = node.control.configuration_version()
                newest = self._newest.get(node.boot, 0)
                if version < newest:
                    self._violations.add(
                        CHECKER, f"{node.boot} goes back from version {newest} to {version}"
                    )
                self._newest[node.boot] = max(newest, version)
            await asyncio.sleep(PERIOD_S)
