"""Runs in which leaders are lost while a grant is in flight that is taken late."""

import asyncio
from dataclasses import dataclass

from indigoworks.ownership.hold_policy import RENEWAL_S
from indigoworks.ownership.order_outcome import OrderResult
from indigoworks_lab.control_simulation.control_deployment import ControlDeployment
from indigoworks_lab.control_simulation.control_plan import CALM_S
from indigoworks_lab.control_simulation.held_grant import HeldGrant
from indigoworks_lab.control_simulation.leader_loss import LeaderLoss
from indigoworks_lab.control_simulation.node_fault_actions import CALM_LOSS, STOP_S
from indigoworks_lab.control_simulation.request_load import RequestLoad
from indigoworks_lab.control_simulation.run_control_seed import (
    MAX_STEPS,
    failures,
    make_control_loop,
)
from indigoworks_lab.control_simulation.run_outside import run_outside
from indigoworks_lab.control_simulation.simulated_node import SimulatedNode
from indigoworks_lab.control_simulation.store_faults import StoreState
from indigoworks_lab.simulation.core.disposal import dispose, silent_disposal

NODES = 4
SERVERS = 4
TROUBLE_S = 2.4
"""Trouble of the store after which leaders grant the longest holds."""

PATIENCE_S = 2 * RENEWAL_S
"""A server that is sent no grant for so long owns no keys, or a write takes them from it."""

AFTERWARDS_S = 2.0
"""Successors are cut off from the server for so long after the end of its late hold."""


@dataclass(frozen=True)
class InFlightReport:
    """What a run showed.

    :ivar is_forced: the server took the grant, under a successor that did not reach it.
    :ivar found: rules that were broken, and exceptions.
    """

    seed: int
    loss: LeaderLoss
    is_forced: bool
    found: tuple[str, ...]

    def text(self) -> str:
        """Return the loss and the findings."""
        return "\n  ".join((f"seed {self.seed}: {self.loss}", *self.found))


def run_in_flight(seed: int, loss: LeaderLoss) -> InFlightReport:
    """Lose the leader in a run, and check it."""
    loop = make_control_loop(seed, MAX_STEPS)
    with silent_disposal():
        deployment = ControlDeployment(loop, seed, NODES, SERVERS, loss.hold_max_s)
        run = _InFlightRun(deployment, loss)
        main = loop.create_task(run.play())
        loop.run_until_complete(main)
        found = (*map(str, deployment.audit.violations.found), *failures(loop, main))
        dispose(loop)
    return InFlightReport(seed, loss, run.is_forced, found)


class _InFlightRun:
    def __init__(self, deployment: ControlDeployment, loss: LeaderLoss) -> None:
        self.is_forced = False
        self._deployment = deployment
        self._loss = loss
        self._losses: list[asyncio.Task[None]] = []

    async def play(self) -> None:
        """Return when the losses are over and all keys had time to be served again."""
        deployment, loss = self._deployment, self._loss
        deployment.start()
        run_outside(deployment.loop, RequestLoad(deployment).run())
        await asyncio.sleep(CALM_S)
        if loss.has_trouble:
            deployment.store.faults.state = StoreState.REFUSING
            await asyncio.sleep(TROUBLE_S)
        deployment.links.datagram_loss = loss.datagram_loss
        leader = deployment.leader()
        assert leader is not None, "no node leads"
        await self._lose_in_flight(leader)
        deployment.links.datagram_loss = CALM_LOSS
        await deployment.recovery.run()

    async def _lose_in_flight(self, leader: SimulatedNode) -> None:
        deployment, loss = self._deployment, self._loss
        held = await self._grant_in_flight(leader)
        await asyncio.sleep(loss.after_s)
        peers = [each for each in deployment.living_nodes() if each is not leader]
        self._lose(leader, loss.is_resigned)
        for node in peers[: loss.peers_lost]:
            self._lose(node, False)
        deployment.store.faults.state = StoreState.UP
        await asyncio.sleep(await held.taken + AFTERWARDS_S)
        self.is_forced = held.has_successor and held.result is OrderResult.DONE
        await asyncio.gather(*self._losses)
        held.heal()

    async def _grant_in_flight(self, leader: SimulatedNode) -> HeldGrant:
        """Return the next grant to a drawn server, or to another one if it is sent none."""
        servers = self._deployment.fleet.stable()
        first = self._deployment.random("loss").choice(servers)
        for server in (first, *(each for each in servers if each is not first)):
            held = HeldGrant(
                self._deployment, leader, server, self._loss.late_s, self._note_successor
            )
            self._deployment.orders.watcher = held
            await asyncio.wait((held.sent,), timeout=PATIENCE_S)
            if held.sent.done():
                return held
        raise AssertionError("the leader renews no grant")

    def _note_successor(self, node: SimulatedNode) -> None:
        if self._loss.chain_s is not None:
            run_outside(self._deployment.loop, self._lose_successor(node, self._loss.chain_s))

    async def _lose_successor(self, node: SimulatedNode, chain_s: float) -> None:
        await asyncio.sleep(chain_s)
        self._lose(node, self._loss.is_resigned)

    def _lose(self, node: SimulatedNode, is_resigned: bool) -> None:
        self._losses.append(run_outside(self._deployment.loop, self._away(node, is_resigned)))

    async def _away(self, node: SimulatedNode, is_resigned: bool) -> None:
        if is_resigned:
            node.process.spawn(node.control.leadership.resign())
            await asyncio.sleep(STOP_S)
        node.process.kill(is_silent=True)
        await asyncio.sleep(self._loss.away_s)
        self._deployment.restart_node(node.name)
