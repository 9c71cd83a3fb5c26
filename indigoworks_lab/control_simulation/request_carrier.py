"""Carries requests to servers."""

import asyncio
from collections.abc import Callable

from indigoworks.servers.server_record import ServerRecord
from indigoworks_lab.control_simulation.links import Links
from indigoworks_lab.control_simulation.simulated_server import SimulatedServer


class RequestCarrier:
    """A request that meets a cut is lost; another server at the address turns it away."""

    def __init__(self, links: Links, server_at: Callable[[str], SimulatedServer | None]) -> None:
        self._links = links
        self._server_at = server_at

    async def carry(
        self,
        node: str,
        server: ServerRecord,
        key: int,
        duration_s: float,
        answer: "asyncio.Future[bool]",
    ) -> None:
        """Run a request; sets whether it was served, unless the answer is lost."""
        address = str(server.address)
        await asyncio.sleep(self._links.latency_s(node, address))
        if self._links.is_cut(node, address):
            return
        target = self._server_at(address)
        if target is not None:
            if not target.queue.accepts():
                return
            await target.queue.turn()
        is_meant = target is not None and target.server_id == server.server_id
        is_served = is_meant and target is not None and await target.work(key, duration_s)
        await asyncio.sleep(self._links.latency_s(node, address))
        if not self._links.is_cut(node, address) and not answer.done():
            answer.set_result(is_served)
