"""Steps on evacuated zones, with an operator's table on a clock moved by hand."""

import asyncio
from dataclasses import replace

from behave import given, then, when
from gateway_world import HOST, ZONE, make_configuration, make_ports, make_record, make_settings
from platform_folder_store_stand_in import FOLDER  # noqa: F401

from indigoworks_lab.simulation.core.manual_clock import ManualClock

# isort: split
from evacuation_reader import read_evacuated_zone
from result import Err, Ok
from store_versions import at

from indigoworks.common.address import Address
from indigoworks.exchange.lag_monitor import LagMonitor
from indigoworks.gateway.platform_subsystem import PlatformSubsystem
from indigoworks.rowstore.errors import HistoryGone
from indigoworks.rowstore.row import Row
from indigoworks.rowstore.rows import Rows
from indigoworks.rowstore.store_health import StoreHealth

TABLE = "op"
SETTLE_S = 2.0
REPORT_S = 0.1


class OperatorTable:
    """Rows of the operator as the store serves them; `is_losing`: feeds wait in vain."""

    def __init__(self, clock):
        self.clock = clock
        self.version = 1
        self.era = 0
        self.first_version = 0
        self.rows = {"config": Row(TABLE, "", "config", b"1", at(1))}
        self.removed = {}
        self.changed = asyncio.Event()
        self.is_losing = False

    def put(self, key):
        self.version += 1
        self.rows[key] = Row(TABLE, "", key, b"{}", self.newest())
        self._wake()

    def remove(self, key):
        self.version += 1
        self.removed[key] = replace(self.rows.pop(key), version=self.newest(), is_removed=True)
        self._wake()

    def forget_history(self):
        self.first_version = self.version
        self.removed.clear()

    def come_back_without(self, key):
        """Come back from a copy that lacks a row."""
        self.era += 1
        self.rows = {
            name: replace(row, version=at(row.version.counter, self.era))
            for name, row in self.rows.items()
            if name != key
        }
        self.removed.clear()
        self._wake()

    def newest(self):
        return at(self.version, self.era)

    async def read(self, table, part):
        return Ok(Rows(tuple(self.rows.values()), self.newest(), self.clock.now()))

    async def follow(self, table, after, wait_s):
        if self.is_losing or self.newest() == after:
            self.changed.clear()
            waits = [
                asyncio.ensure_future(self.changed.wait()),
                asyncio.ensure_future(self.clock.sleep(wait_s)),
            ]
            await asyncio.wait(waits[self.is_losing :], return_when=asyncio.FIRST_COMPLETED)
            for each in waits:
                each.cancel()
        if after.era != self.era or after.counter < self.first_version:
            return Err(HistoryGone("gone", "read again"))
        if self.is_losing:
            return Ok(Rows((), after, self.clock.now()))
        known = (*self.rows.values(), *self.removed.values())
        newer = sorted(
            (each for each in known if each.version > after), key=lambda row: row.version
        )
        return Ok(Rows(tuple(newer), self.newest(), self.clock.now()))

    def _wake(self):
        if not self.is_losing:
            self.changed.set()


def start(context):
    clock, store = context.evacuation_clock, context.evacuation_store
    health = context.evacuation_health = StoreHealth(clock)
    health.eras.record_era(store.era)
    ports = make_ports(
        health,
        store=store,
        read_configuration=lambda value: Ok(make_configuration(int(value))),
        read_evacuated_zone=read_evacuated_zone,
    )
    side = context.evacuation_side = PlatformSubsystem(ports, make_settings(), clock)
    for zone in ("z1", "z2"):
        side.servers.put(make_record(f"s-{zone}", Address(HOST, 1), zone=zone))
    context.evacuation_task = asyncio.ensure_future(side.followers[0].run())


@given(
    "a gateway that follows the operator's rows, with a server in zone "
    '"{first}" and one in zone "{second}"'
)
def step_gateway(context, first, second):
    async def make():
        context.evacuation_clock = ManualClock()
        context.evacuation_store = OperatorTable(context.evacuation_clock)
        start(context)
        await context.evacuation_clock.advance(SETTLE_S)

    context.run_async(make())


def change(context, act):
    async def run():
        act()
        await context.evacuation_clock.advance(SETTLE_S)

    context.run_async(run())


@when('the operator evacuates zone "{zone}"')
def step_evacuate(context, zone):
    change(context, lambda: context.evacuation_store.put(f"evacuate/{zone}"))


@when('the operator takes zone "{zone}" back')
def step_take_back(context, zone):
    change(context, lambda: context.evacuation_store.remove(f"evacuate/{zone}"))


@when('the operator takes zone "{zone}" back, and the store forgets its history')
def step_take_back_and_forget(context, zone):
    def act():
        context.evacuation_store.remove(f"evacuate/{zone}")
        context.evacuation_store.forget_history()

    change(context, act)


@when('the store comes back from a copy that lacks the evacuation of zone "{zone}"')
def step_come_back(context, zone):
    def act():
        context.evacuation_store.come_back_without(f"evacuate/{zone}")
        context.evacuation_health.eras.record_era(context.evacuation_store.era)

    change(context, act)


@when("{duration_s:g} s pass for that gateway")
def step_time_passes(context, duration_s):
    async def run():
        await context.evacuation_clock.advance(duration_s)
        context.evacuation_side.end_stale_evacuations()

    context.run_async(run())


@when('the operator evacuates zone "{zone}", and the answer that tells so is lost')
def step_evacuate_unheard(context, zone):
    def act():
        context.evacuation_store.is_losing = True
        context.evacuation_store.put(f"evacuate/{zone}")

    change(context, act)


@when("that gateway starts anew")
def step_start_anew(context):
    def act():
        context.evacuation_task.cancel()
        start(context)

    change(context, act)


@when("a peer says for {duration_s:g} s that it has applied the row")
def step_peer_says(context, duration_s):
    side, clock = context.evacuation_side, context.evacuation_clock
    watch = LagMonitor("operator", side.operator_position, side.followers[0].request_reread, clock)

    async def say():
        for _ in range(round(duration_s / REPORT_S)):
            watch.record_version("n2", at(context.evacuation_store.version))
            await clock.advance(REPORT_S)

    context.run_async(say())


@then('that gateway sends new work to servers of "{zones}" only')
def step_zones(context, zones):
    used = sorted(each.zone for each in context.evacuation_side.servers.usable("shop"))
    assert used == zones.split(", "), used


@when("the gateway learns that the zone of its servers is evacuated")
def step_learns(context):
    context.gateway_list.evacuations.begin(ZONE)


@when("the gateway learns that the zone of its servers is in use again")
def step_in_use(context):
    context.gateway_list.evacuations.end(ZONE)


@then('gateway server "{server_id}" may serve its own keys')
def step_may_serve(context, server_id):
    assert context.gateway_list.may_serve_own_keys(server_id)


@then('gateway server "{server_id}" may not serve its own keys')
def step_may_not_serve(context, server_id):
    assert not context.gateway_list.may_serve_own_keys(server_id)
