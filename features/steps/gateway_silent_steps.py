"""Steps on polls and connections that go silent for good, while new ones work."""

import asyncio
from collections import Counter
from random import Random

from behave import given, then, when
from gateway_world import HOST, make_configuration, make_ports, make_settings
from platform_folder_store_stand_in import FOLDER  # noqa: F401

from indigoworks.rowstore.table_part import UNDIVIDED
from indigoworks_lab.simulation.core.manual_clock import ManualClock, settle

# isort: split
from evacuation_reader import read_evacuated_zone
from http_row_store import CALL_TIMEOUT_S
from result import Err, Ok
from store_versions import at

from indigoworks.common.address import Address
from indigoworks.exchange.lag_monitor import LagMonitor
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.exchange.peer_directory import PEER_PREFIX, PeerDirectory, encode_peer
from indigoworks.exchange.peer_report import PeerReport
from indigoworks.exchange.peer_table import PeerTable
from indigoworks.exchange.report_pace import FAR_QUIET_S
from indigoworks.gateway.platform_subsystem import PlatformSubsystem
from indigoworks.relay.relay_selector import RelaySelector
from indigoworks.rowstore.errors import StoreUnreachable
from indigoworks.rowstore.row import Row
from indigoworks.rowstore.rows import Rows
from indigoworks.rowstore.store_health import StoreHealth
from indigoworks.rowstore.store_version import NO_VERSION

APPLY_S = 2.0
CONTACT_S = 3.0
STEP_S = 0.05
RESPONSE_S = {"quick": 0.004, "slow": 0.2}
POLLS = {"the polls of the operator": ("op",), "all polls": ("op", "servers")}


class WaitingPoll:
    """A poll that has no answer yet."""

    is_silent = False


class SilentStore:
    """Rows of the operator; polls that wait when `silence` is called get no answer."""

    def __init__(self, clock, response_s):
        self.clock = clock
        self.response_s = response_s
        self.version = 1
        self.rows = {"config": Row("op", "", "config", b"1", at(1))}
        self.changed = asyncio.Event()
        self.waiting = {}

    def put(self, key, value):
        self.version += 1
        self.rows[key] = Row("op", "", key, value, at(self.version))
        self.changed.set()
        self.changed = asyncio.Event()

    def silence(self, tables):
        for polls in (self.waiting.get(table, []) for table in tables):
            for poll in polls:
                poll.is_silent = True

    async def read(self, table, part):
        await self.clock.sleep(self.response_s)
        return self._answer(table, NO_VERSION)

    async def follow(self, table, after, wait_s):
        poll = WaitingPoll()
        self.waiting.setdefault(table, []).append(poll)
        begun_s = self.clock.now()
        try:
            if table != "op" or self.version <= after.counter:
                await self._wait(table, wait_s)
            await self.clock.sleep(self.response_s)
        finally:
            self.waiting[table].remove(poll)
        if poll.is_silent:
            await self.clock.sleep(begun_s + wait_s + CALL_TIMEOUT_S - self.clock.now())
            return Err(StoreUnreachable("No response.", "Wait."))
        return self._answer(table, after)

    async def _wait(self, table, wait_s):
        ends = [asyncio.ensure_future(self.clock.sleep(wait_s))]
        if table == "op":
            ends.append(asyncio.ensure_future(self.changed.wait()))
        await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
        for each in ends:
            each.cancel()

    def _answer(self, table, after):
        rows = [each for each in self.rows.values() if table == "op" and each.version > after]
        return Ok(Rows(tuple(rows), at(self.version), self.clock.now()))


class WatchingGateway:
    """One gateway's followers, and what it hears of its peers."""

    def __init__(self, world, number, zone):
        self.node = f"n{number}"
        clock = world.clock
        self.peers = PeerTable(clock, self.node)
        self.directory = PeerDirectory(self.node)
        health = StoreHealth(clock)
        selector = RelaySelector(
            self.node, zone, 1.0, self.directory, self.peers, lambda: "", lambda: 0.0, clock
        )
        self.selector = selector
        ports = make_ports(
            health,
            store=world.store,
            read_configuration=lambda value: Ok(make_configuration(int(value))),
            read_evacuated_zone=read_evacuated_zone,
        )
        self.side = PlatformSubsystem(
            ports,
            make_settings(node=self.node),
            clock,
            selector.probe_wait_s,
            self.directory.has_many,
            selector.is_relayed,
            selector.is_watching,
        )
        reread = self.side.followers[0].request_reread
        self.lag = LagMonitor("operator", self.side.operator_position, reread, clock)
        self.sequence = 0

    def report(self):
        self.sequence += 1
        version = self.side.operator_row_version
        return PeerReport(
            self.node,
            "b",
            self.sequence,
            0,
            0.0,
            None,
            (),
            (),
            0,
            operator_row_version=version,
        )

    def hear(self, report):
        self.peers.record_report(report)
        self.lag.record_version(report.node, report.operator_row_version)


class WatchingGroup:
    """Gateways whose reports to each other take turns, each as seldom as to another zone."""

    def __init__(self, count, zones, response_s):
        self.clock = ManualClock()
        self.store = SilentStore(self.clock, response_s)
        self.gateways = [
            WatchingGateway(self, number + 1, f"z{number % zones}") for number in range(count)
        ]
        self.unheard = set()
        for number, each in enumerate(self.gateways):
            row = PeerAddress(each.node, "b", f"z{number % zones}", Address(HOST, 1))
            key = PEER_PREFIX + each.node
            for other in self.gateways:
                other.directory.apply([Row("control", "", key, encode_peer(row), at(number + 1))])
        self.tasks = [
            asyncio.ensure_future(follower.run())
            for each in self.gateways
            for follower in each.side.followers
        ]
        self.steps = 0

    async def pass_time(self, duration_s):
        for _ in range(round(duration_s / STEP_S)):
            await self.clock.advance(STEP_S)
            self.steps += 1
            for number, each in enumerate(self.gateways):
                if (self.steps + number) % round(FAR_QUIET_S / STEP_S) == 0:
                    self.tell(each)
            await settle()

    def tell(self, sender):
        if sender.node in self.unheard:
            return
        for other in self.gateways:
            if other is not sender:
                other.hear(sender.report())

    def end(self):
        for each in self.tasks:
            each.cancel()


@given("{count:d} gateways in {zones:d} zones that follow a {pace} store and hear one another")
def step_group(context, count, zones, pace):
    async def make():
        context.silent_group = WatchingGroup(count, zones, RESPONSE_S[pace])
        await context.silent_group.pass_time(5.0)

    context.run_async(make())
    context.add_cleanup(context.silent_group.end)


@when(
    "{polls} go silent and the operator writes a configuration and an evacuation "
    "0.1 to 4 s later, {times:d} times"
)
def step_silence(context, polls, times):
    context.silent_late = Counter()
    random = Random(context.scenario.name)

    async def run():
        group = context.silent_group
        for turn in range(times):
            await group.pass_time(random.uniform(5.0, 16.0))
            group.store.silence(POLLS[polls])
            before_s = random.choice((0.1, 0.5, 0.9, 1.0, 1.1, 2.0, 3.05, 4.0))
            await group.pass_time(before_s)
            zone, version = f"zone-{turn}", group.store.version + 10
            group.store.put("config", str(version).encode())
            group.store.put(f"evacuate/{zone}", b"{}")
            await group.pass_time(max(APPLY_S, CONTACT_S - before_s))
            for each in group.gateways:
                in_force = each.side.configurations.current().version
                is_in_force = in_force == version
                is_evacuated = each.side.servers.evacuations.is_evacuated(zone)
                context.silent_late[(turn, before_s)] += not (is_in_force and is_evacuated)

    context.run_async(run())


@then("each was in force everywhere 2 s after it was written, or 3 s after the silence began")
def step_in_force(context):
    late = {key: count for key, count in context.silent_late.items() if count}
    assert context.silent_late and not late, late


@then("the gateways that watch the operator's rows are {numbers}")
def step_watchers(context, numbers):
    expected = [f"n{each}" for each in numbers.replace(" and ", ", ").split(", ")]
    watching = [each.node for each in context.silent_group.gateways if each.selector.is_watching()]
    assert watching == expected, watching


@then("no gateway but a relay watches the operator's rows")
def step_no_watchers(context):
    selectors = [each.selector for each in context.silent_group.gateways]
    assert sum(each.relay() is not None for each in selectors) == 2
    assert not any(each.is_watching() for each in selectors)
    relay = next(each.relay() for each in selectors if each.relay() is not None)
    (acting,) = [each.selector for each in context.silent_group.gateways if each.node == relay.node]
    acting.record_request()
    assert [each for each in selectors if each.is_watching()] == [acting]


@when("gateway {number:d} is not heard any more")
def step_unheard(context, number):
    context.silent_group.unheard.add(f"n{number}")
    context.run_async(context.silent_group.pass_time(2.0))


@when('the platform folder reads all rows of "{table}" twice')
def step_read_twice(context, table):
    async def run():
        for _ in range(2):
            assert (await context.platform_store.read(table, UNDIVIDED)).is_ok()

    context.run_async(run())


@then("the platform folder store got each reading over a connection of its own")
def step_own(context):
    streams = context.platform_stand_in.streams
    assert len(streams) == len({id(each) for each in streams}) == 2, streams
