"""Measures for how long keys have no server that serves them."""

import asyncio
from dataclasses import dataclass

from indigoworks.ownership.ownership_table import KEY_COUNT
from indigoworks_lab.control_simulation.control_deployment import ControlDeployment
from indigoworks_lab.control_simulation.interval_map import IntervalMap
from indigoworks_lab.control_simulation.server_entry import SERVICE
from indigoworks_lab.control_simulation.simulated_node import SimulatedNode
from indigoworks_lab.control_simulation.simulated_server import SimulatedServer

PERIOD_S = 0.05


@dataclass(frozen=True, slots=True)
class KeyWait:
    """So many keys were without a server for so long altogether.

    :ivar unheld_s: no server that a remaining node reaches held them.
    :ivar unserved_s: some remaining node did not send their requests to such a server.
    """

    keys: int
    unheld_s: float
    unserved_s: float


class WaitMeter:
    """Adds up for each key the time without a server, by what the servers hold.

    :ivar lost_nodes: names of nodes whose callers are lost as well; what they do does not count.
    """

    def __init__(self, deployment: ControlDeployment) -> None:
        self.lost_nodes: set[str] = set()
        self._deployment = deployment
        self._unheld_s: IntervalMap[float] = IntervalMap(0.0)
        self._unserved_s: IntervalMap[float] = IntervalMap(0.0)

    async def run(self, duration_s: float) -> None:
        """Watch for a time."""
        until_s = self._deployment.loop.time() + duration_s
        while self._deployment.loop.time() < until_s:
            self._look()
            await asyncio.sleep(PERIOD_S)

    def waits(self) -> list[KeyWait]:
        """Return the times of all keys, equal neighbours together."""
        return [
            KeyWait(part.last - part.first + 1, piece.value, part.value)
            for piece in self._unheld_s.pieces()
            for part in self._unserved_s.pieces(piece.first, piece.last)
        ]

    def _look(self) -> None:
        nodes = [
            each for each in self._deployment.living_nodes() if each.name not in self.lost_nodes
        ]
        holders = self._holders(nodes)
        served: IntervalMap[bool] = IntervalMap(bool(nodes))
        for node in nodes:
            _exclude_unserved(served, node, holders)
        _add_where_not(self._unheld_s, _has_holder(holders))
        _add_where_not(self._unserved_s, served)

    def _holders(self, nodes: list[SimulatedNode]) -> IntervalMap[frozenset[str]]:
        holders: IntervalMap[frozenset[str]] = IntervalMap(frozenset())
        for server in self._deployment.fleet.up():
            if not self._is_reached(server, nodes):
                continue
            for held in server.held():
                for piece in list(holders.pieces(held.first, held.last)):
                    holders.set(piece.first, piece.last, piece.value | {server.server_id})
        return holders

    def _is_reached(self, server: SimulatedServer, nodes: list[SimulatedNode]) -> bool:
        links, address = self._deployment.links, str(server.address)
        return any(not links.is_cut(node.name, address) for node in nodes)


def _exclude_unserved(
    served: IntervalMap[bool], node: SimulatedNode, holders: IntervalMap[frozenset[str]]
) -> None:
    """Mark the keys whose requests a node does not send to a server that holds them."""
    table = node.tables.table(SERVICE)
    for owned in table.ranges:
        is_open = node.can_send(owned.first)
        for piece in holders.pieces(owned.first, owned.last):
            if not is_open or owned.server_id not in piece.value:
                served.set(piece.first, piece.last, False)
    if not table.ranges:
        served.set(0, KEY_COUNT - 1, False)


def _has_holder(holders: IntervalMap[frozenset[str]]) -> IntervalMap[bool]:
    held: IntervalMap[bool] = IntervalMap(True)
    for piece in holders.pieces():
        held.set(piece.first, piece.last, bool(piece.value))
    return held


def _add_where_not(times_s: IntervalMap[float], is_well: IntervalMap[bool]) -> None:
    for span in is_well.pieces():
        if span.value:
            continue
        for part in list(times_s.pieces(span.first, span.last)):
            times_s.set(part.first, part.last, part.value + PERIOD_S)
