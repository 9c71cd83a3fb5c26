"""Gateways, the machines behind them, and callers."""

import asyncio
from collections.abc import Callable, Coroutine
from functools import partial
from random import Random
from typing import Any

from indigoworks.common.address import Address
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.exchange.peer_directory import PEER_PREFIX, encode_peer
from indigoworks.forwarding.forward_server import ForwardServer
from indigoworks.gateway.server_connection import ServerConnection
from indigoworks.ownership.control_group import CONTROL_TABLE
from indigoworks.rowstore.row import Row
from indigoworks.rowstore.store_version import StoreVersion
from indigoworks.servers.server_record import ServerRecord
from indigoworks_lab.crash_simulation.build_gateway import ZONES, build_gateway, zone_of
from indigoworks_lab.crash_simulation.caller_answer import CallerAnswer
from indigoworks_lab.crash_simulation.crash_gateway import CrashGateway
from indigoworks_lab.crash_simulation.crash_machine import CrashMachine
from indigoworks_lab.crash_simulation.crash_shape import CrashShape
from indigoworks_lab.crash_simulation.frozen_nodes import FrozenNodes
from indigoworks_lab.crash_simulation.group_store import GroupStore
from indigoworks_lab.crash_simulation.machine_connection import MachineConnection
from indigoworks_lab.crash_simulation.machine_run import MachineRun
from indigoworks_lab.crash_simulation.owner_moves import OwnerMoves
from indigoworks_lab.crash_simulation.path_cuts import PathCuts
from indigoworks_lab.crash_simulation.peer_connection import PeerConnection

DATAGRAM_S = 0.001
STRONG_PER_ZONE = 2
STRONG, WEAK = 2.0, 0.0
"""Capacity of machines that may be hubs, and of the others."""


class CrashSimulation:
    """Builds everything, and carries datagrams and rows between the gateways.

    :ivar harmful: targets under which servers end.
    :ivar lost_answers: share of the runs that end well and whose answer is lost.
    :ivar lost_datagrams: share of the datagrams that are lost.
    :ivar is_cut: tells whether datagrams from one node to another are lost.
    :ivar is_without_store: tells whether a node learns of no new row.
    :ivar path_cuts: gateways that are cut from all machines.
    :ivar frozen: gateways that stand still.
    :ivar answers: what callers got.
    """

    def __init__(self, shape: CrashShape, seed: int) -> None:
        self.shape = shape
        self.random = Random(seed)
        self.harmful: set[str] = set()
        self.lost_answers = 0.0
        self.lost_datagrams = 0.0
        self.is_cut: Callable[[str, str], bool] = lambda sender, receiver: False
        self.is_without_store: Callable[[str], bool] = lambda node: False
        self.frozen = FrozenNodes()
        self.path_cuts = PathCuts()
        self.answers: list[CallerAnswer] = []
        self.datagrams = 0
        self.datagram_bytes = 0
        self.gateways: dict[str, CrashGateway] = {}
        self.machines: dict[str, CrashMachine] = {}
        self._owners = OwnerMoves(self.random)
        self.store = GroupStore(self._take_row)
        self._entry_version = 0
        self._boots = 0
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self) -> None:
        """Start all machines and gateways."""
        for index, (service, is_keyed) in enumerate(self.shape.services):
            machines = [
                self._make_machine(service, index, each) for each in range(self.shape.servers)
            ]
            if is_keyed:
                self._owners.share(service, [each.server_id for each in machines])
        for number in range(self.shape.gateways):
            is_strong = number // len(ZONES) < STRONG_PER_ZONE
            self._start_gateway(f"gateway-{number}", zone_of(number), STRONG if is_strong else WEAK)

    async def finish(self) -> None:
        """End all tasks."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def spawn(self, work: Coroutine[Any, Any, Any]) -> "asyncio.Task[Any]":
        """Run a task until `finish`."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # ---- gateways ----

    def living_gateways(self) -> list[CrashGateway]:
        """Return the gateways whose process runs."""
        return [
            each
            for each in self.gateways.values()
            if each.is_up and not self.frozen.is_frozen(each.node)
        ]

    def restart_gateway(self, node: str) -> None:
        """End the process of a gateway with all that it knows, and start the next one."""
        old = self.gateways[node]
        old.is_up = False
        self._start_gateway(node, old.address.zone, old.address.capacity)

    def _start_gateway(self, node: str, zone: str, capacity: float) -> None:
        self._boots += 1
        address = PeerAddress(node, f"boot-{self._boots}", zone, Address(node, 1), capacity)
        gateway = build_gateway(
            self.shape,
            self.store,
            address,
            self._owners.tables,
            lambda to, _: self._connection(to, node, address.boot),
            self._carry,
            self._carry_to_broker,
        )
        self.gateways[node] = gateway
        self.store.put(CONTROL_TABLE, "", PEER_PREFIX + node, encode_peer(address))
        if not self.store.is_down:
            gateway.take_rows(list(self.store.rows.values()))
        for machine in self.machines.values():
            if machine.is_up:
                gateway.platform.servers.put(self._record(machine))
        self.spawn(gateway.run())
        self.spawn(gateway.side.run())
        if self.shape.has_brokers:
            self.spawn(gateway.side.brokers.broker.run())

    def _connection(self, to: Address, node: str, boot: str) -> ServerConnection:
        if to.host in self.gateways:
            return PeerConnection(to, partial(self._forward_server_at, node))
        return MachineConnection(
            to, node, boot, self._machine_at, self.frozen.thawed, self.path_cuts.of
        )

    def _forward_server_at(self, sender: str, address: Address) -> ForwardServer | None:
        gateway = self.gateways[address.host]
        is_reached = gateway.is_up and not self.is_cut(sender, address.host)
        return gateway.side.forward_server if is_reached else None

    def lose_store(self) -> None:
        """From now on no gateway reaches the store."""
        self.store.is_down = True
        self.is_without_store = lambda node: True

    def regain_store(self) -> None:
        """From now on all reach it, and know what it holds."""
        self.store.is_down = False
        self.is_without_store = lambda node: False
        for gateway in self.living_gateways():
            gateway.take_rows(list(self.store.rows.values()))

    def _take_row(self, row: Row) -> None:
        """Every gateway that reaches the store learns of a new row."""
        for gateway in self.living_gateways():
            if not self.is_without_store(gateway.node):
                gateway.take_rows([row])

    def _carry(self, sender: CrashGateway, datagram: bytes, to: Address) -> None:
        if self._arrives(sender, datagram, to):
            asyncio.get_running_loop().call_later(DATAGRAM_S, self._deliver, datagram, to.host)

    def _arrives(self, sender: CrashGateway, datagram: bytes, to: Address) -> bool:
        """Count a datagram, and tell whether it gets through."""
        self.datagrams += 1
        self.datagram_bytes += len(datagram)
        is_lost = self.random.random() < self.lost_datagrams or self.is_cut(sender.node, to.host)
        return sender.is_up and not is_lost

    def _deliver(self, datagram: bytes, node: str) -> None:
        receiver = self.gateways.get(node)
        if receiver is None or not receiver.is_up:
            return
        if not self.frozen.holds(node, lambda: self._deliver(datagram, node)):
            receiver.receive(datagram)

    def _carry_to_broker(
        self, sender: CrashGateway, datagram: bytes, own: Address, to: Address
    ) -> None:
        if self.frozen.holds(sender.node, lambda: self._carry_to_broker(sender, datagram, own, to)):
            return
        if self._arrives(sender, datagram, to):
            asyncio.get_running_loop().call_later(
                DATAGRAM_S, self._deliver_to_broker, datagram, own, to.host
            )

    def _deliver_to_broker(self, datagram: bytes, sender: Address, node: str) -> None:
        receiver = self.gateways.get(node)
        if receiver is None or not receiver.is_up or receiver.broker_port is None:
            return
        if not self.frozen.holds(node, lambda: self._deliver_to_broker(datagram, sender, node)):
            receiver.broker_port.receive(datagram, sender)

    # ---- machines ----

    def living_machines(self, service: str) -> list[CrashMachine]:
        """Return the machines of a service whose process runs."""
        return [each for each in self.machines.values() if each.service == service and each.is_up]

    def runs(self) -> list[MachineRun]:
        """Return every run that began, in the order of time."""
        runs = [run for machine in self.machines.values() for run in machine.runs]
        return sorted(runs, key=lambda each: each.began_s)

    def _make_machine(self, service: str, index: int, number: int) -> CrashMachine:
        machine = CrashMachine(
            service,
            number,
            f"10.1.{index}.{number}",
            zone_of(number),
            self.shape,
            self.harmful.__contains__,
            lambda: self.random.random() < self.lost_answers,
            self._machine_ended,
        )
        self.machines[machine.address.host] = machine
        machine.start()
        return machine

    def _machine_at(self, address: Address) -> CrashMachine | None:
        return self.machines.get(address.host)

    def _machine_ended(self, machine: CrashMachine) -> None:
        self.spawn(self._bring_back(machine, machine.server_id))

    async def _bring_back(self, machine: CrashMachine, ended_id: str) -> None:
        await asyncio.sleep(self.shape.move_s)
        if self.shape.is_keyed(machine.service):
            heirs = [each.server_id for each in self.living_machines(machine.service)]
            self._owners.move(machine.service, ended_id, heirs)
            for gateway in self.living_gateways():
                gateway.side.queue.capacity_changed()
        await asyncio.sleep(self.shape.down_s - self.shape.move_s)
        machine.start()
        life = machine.life
        await asyncio.sleep(self.shape.listed_s)
        if machine.life == life:
            self.write_entry(machine)
        await asyncio.sleep(self.shape.lapse_s - self.shape.down_s - self.shape.listed_s)
        for gateway in [] if self.shape.keeps_id else self.living_gateways():
            gateway.platform.servers.remove(ended_id)
            gateway.side.servers_changed()

    def write_entry(self, machine: CrashMachine) -> None:
        """Let all gateways learn of the entry that a machine writes now."""
        for gateway in self.living_gateways():
            gateway.platform.servers.put(self._record(machine))
            gateway.side.servers_changed()

    def _record(self, machine: CrashMachine) -> ServerRecord:
        self._entry_version += 1
        return ServerRecord(
            server_id=machine.server_id,
            service=machine.service,
            address=machine.address,
            zone=machine.zone,
            slots=machine.slots,
            is_draining=False,
            warm_up_left_s=0.0,
            version=StoreVersion(0, self._entry_version),
            started_ms=machine.started_ms,
        )
