"""asyncio's own event loop on virtual time and a simulated network."""

import asyncio
import asyncio.base_events
from collections.abc import Callable
from typing import Any

from indigoworks_lab.bench.network.virtual_network import VirtualNetwork
from indigoworks_lab.bench.network.virtual_selector import VirtualSelector

CLOCK_RESOLUTION_S = 1e-9


class VirtualLoop(asyncio.base_events.BaseEventLoop):
    """Runs ready callbacks first come, first served, and jumps over the time between timers.

    It explores no other orders of callbacks and knows no frozen processes: those are the business
    of the simulation. It exists because load runs need a hundred times more steps than fault runs.
    """

    def __init__(self, network: VirtualNetwork) -> None:
        super().__init__()
        self._virtual = VirtualSelector()
        self._selector = self._virtual
        self._clock_resolution = CLOCK_RESOLUTION_S
        self.network = network

    def time(self) -> float:
        """Return the virtual time, in seconds since the run began."""
        return self._virtual.now_s

    async def create_server(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        host: str,
        port: int,
        **_options: Any,
    ) -> Any:
        """Listen on a simulated address."""
        return self.network.listen(protocol_factory, host, port)

    async def create_connection(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        host: str,
        port: int,
        **_options: Any,
    ) -> Any:
        """Connect to a simulated address from the host of the running process."""
        return await self.network.connect(self, protocol_factory, host, port)

    def _process_events(self, event_list: list[object]) -> None:
        """Do nothing: the selector brings no events."""

    def _write_to_self(self) -> None:
        """Do nothing: no other thread has to wake this loop."""
