"""One range passes from a server that falls silent to another: every order of messages."""

import asyncio
from random import Random
from typing import Any, cast

import detangle

from indigoworks.backend.granted_range import GrantedRange
from indigoworks.backend.lease_renewal import LeaseRenewal
from indigoworks.common.address import Address
from indigoworks.common.ring.key_hash import KEY_SPACE_MAX
from indigoworks.controller.control_state import ReplicatedControlState
from indigoworks.controller.controller_ports import ControllerPorts
from indigoworks.controller.lease_manager import LeaseManager
from indigoworks.controller.lease_timing import BACKEND_LEASE_S
from indigoworks.controller.ownership_context import OwnershipContext
from indigoworks.controller.ownership_rules import reassign_ranges_of_lost_servers
from indigoworks.settings import SettingsTree
from indigoworks.wire.control_pb2 import (
    SERVER_STATE_LIVE,
    ChangeRanges,
    Command,
    RangeRecord,
    RegisterServer,
    Server,
)
from indigoworks_lab.backend.stand_in_identity import StandInIdentity
from indigoworks_lab.backend.stand_in_profile import StandInProfile
from indigoworks_lab.checkers.sole_ownership import check_sole_ownership
from indigoworks_lab.checkers.tokens_grow import check_tokens_grow
from indigoworks_lab.simulation.bounded.chosen_backends import ChosenBackends
from indigoworks_lab.simulation.bounded.search import PromiseBroken
from indigoworks_lab.simulation.bounded.steady_leadership import SteadyLeadership
from indigoworks_lab.simulation.core.host_clock import MAX_DRIFT, HostClock
from indigoworks_lab.simulation.ports.recording_server import RecordingServer
from indigoworks_lab.simulation.workload.recorder import Recorder

SERVICE = "stock"
SILENT = Address("10.0.0.1", 8000)
NEXT = Address("10.0.0.2", 8000)
CHOSEN_CALLS = 6
"""Calls to the server, from the first, whose delays are chosen; none after them arrives."""

COMMIT_DELAYS_S = (0.6, 0.005)
ROUND_S = 0.1
ROUNDS = 50
RATES = ((1 - MAX_DRIFT, 1 + MAX_DRIFT), (1 + MAX_DRIFT, 1 - MAX_DRIFT), (1.0, 1.0))
"""Rates of the clocks of the leader and of the server that falls silent."""


class LeaseHandover:
    """The leader's real lease tasks and rule of loss, two real back ends, no agreement."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        leader_rate, silent_rate = detangle.choice(RATES)
        self._recorder = Recorder(loop)
        self._clock = HostClock(loop, Random(1), leader_rate)
        silent_clock = HostClock(loop, Random(2), silent_rate)
        servers = {
            SILENT: self._server("server-1", 1, silent_clock),
            NEXT: self._server("server-2", 2, HostClock(loop, Random(3), 1.0)),
        }
        ports = ControllerPorts(
            clock=self._clock,
            table=cast(Any, None),
            objects=cast(Any, None),
            machines=cast(Any, None),
            backends=ChosenBackends(servers, SILENT, CHOSEN_CALLS),
        )
        self._state = ReplicatedControlState(self._clock)
        self._index = 0
        leadership = cast(Any, SteadyLeadership(self._clock))
        self._silent = servers[SILENT]
        self._silent_clock = silent_clock
        self._leases = LeaseManager(self._state, leadership, ports, asyncio.Event())
        self._context = OwnershipContext(
            self._state, self._leases, leadership, SettingsTree(), self._clock
        )

    async def run(self) -> None:
        """Run the case to its end.

        :raises PromiseBroken: a checker found something.
        """
        self._set_up()
        for _ in range(ROUNDS):
            self._leases.reconcile()
            for command in reassign_ranges_of_lost_servers(self._context):
                await asyncio.sleep(detangle.choice(COMMIT_DELAYS_S))
                self._apply(command)
                self._leases.reconcile()
            await asyncio.sleep(ROUND_S)
        self._leases.close()
        self._check()

    def _set_up(self) -> None:
        for name, address in (("server-1", SILENT), ("server-2", NEXT)):
            server = Server(
                name=name,
                incarnation=f"{name}#1",
                service=SERVICE,
                host=address.host,
                port=address.port,
                slots=2,
                state=SERVER_STATE_LIVE,
            )
            self._apply(Command(register_server=RegisterServer(server=server)))
        record = RangeRecord(
            service=SERVICE,
            start=0,
            end=KEY_SPACE_MAX,
            owner="server-1",
            owner_incarnation="server-1#1",
            generation=1,
        )
        self._apply(Command(change_ranges=ChangeRanges(replacement=[record])))
        self._renew_by_earlier_leader()

    def _renew_by_earlier_leader(self) -> None:
        """Let the server hold a lease that the leader before renewed at the last moment."""
        [record] = self._state.ranges(SERVICE)
        renewal = LeaseRenewal(
            incarnation="server-1#1",
            generation=1,
            grants_version=1,
            valid_until_s=self._silent_clock.now() + BACKEND_LEASE_S,
            ranges=(GrantedRange(record.start, record.end, record.token),),
        )
        self._silent.renew(renewal)

    def _apply(self, command: Command) -> None:
        self._index += 1
        self._state.apply(self._index, command)

    def _check(self) -> None:
        history = self._recorder.history
        owners = {span.server for span in history.spans}
        if "server-2" not in owners:
            raise PromiseBroken("the range was never given to the next server")
        found = [*check_sole_ownership(history), *check_tokens_grow(history)]
        if found:
            raise PromiseBroken(str(found[0]))

    def _server(self, name: str, run: int, clock: HostClock) -> RecordingServer:
        identity = StandInIdentity(name, f"{name}#1", SERVICE, "zone-1")
        return RecordingServer(identity, StandInProfile(), clock, Random(run), self._recorder, run)


async def lease_handover() -> None:
    """Run one schedule of the case."""
    await LeaseHandover().run()
