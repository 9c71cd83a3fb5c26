"""What a simulated node stands in."""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

from indigoworks_lab.control_simulation.control_audit import ControlAudit
from indigoworks_lab.control_simulation.datagram_links import DatagramLinks
from indigoworks_lab.control_simulation.links import Links
from indigoworks_lab.control_simulation.order_carrier import OrderCarrier
from indigoworks_lab.control_simulation.request_carrier import RequestCarrier
from indigoworks_lab.control_simulation.run_outside import run_outside
from indigoworks_lab.control_simulation.simulated_store import SimulatedStore
from indigoworks_lab.simulation.core.faulty_loop import FaultyLoop


@dataclass(frozen=True)
class NodeWorld:
    """Store, servers and network as all nodes share them."""

    loop: FaultyLoop
    links: Links
    store: SimulatedStore
    orders: OrderCarrier
    requests: RequestCarrier
    datagrams: DatagramLinks
    audit: ControlAudit

    def run_outside(self, work: Coroutine[Any, Any, None]) -> "asyncio.Task[None]":
        """Run a task that belongs to no process."""
        return run_outside(self.loop, work)
