"""Steps on the pace at which a gateway follows configurations, on a clock moved by hand."""

import asyncio

from behave import given, then, when
from gateway_world import make_configuration, make_ports, make_settings
from result import Ok
from store_versions import at

from indigoworks.gateway.platform_subsystem import PlatformSubsystem
from indigoworks.rowstore.row import Row
from indigoworks.rowstore.rows import Rows
from indigoworks.rowstore.store_health import StoreHealth
from indigoworks_lab.simulation.core.manual_clock import ManualClock

TABLE = "op"


class ConfigurationStore:
    """Holds one row, the newest configuration; counts the steps of its feed."""

    def __init__(self, clock):
        self.clock = clock
        self.version = 1
        self.asked = 0
        self.changed = asyncio.Event()

    def put(self):
        self.version += 1
        self.changed.set()

    async def read(self, table, part):
        return Ok(self._rows())

    async def follow(self, table, after, wait_s):
        self.asked += 1
        if at(self.version) == after:
            self.changed.clear()
            waits = [
                asyncio.ensure_future(self.changed.wait()),
                asyncio.ensure_future(self.clock.sleep(wait_s)),
            ]
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
            for each in waits:
                each.cancel()
        if at(self.version) == after:
            return Ok(Rows((), after, self.clock.now()))
        return Ok(self._rows())

    def _rows(self):
        row = Row(TABLE, "", "config", str(self.version).encode(), at(self.version))
        return Rows((row,), at(self.version), self.clock.now())


@given("a gateway of a {size} group whose configurations are to be in force within {apply_s:g} s")
def step_gateway(context, size, apply_s):
    async def make():
        clock = context.pace_clock = ManualClock()
        store = context.pace_store = ConfigurationStore(clock)
        ports = make_ports(
            StoreHealth(clock),
            store=store,
            read_configuration=lambda value: Ok(make_configuration(int(value))),
        )
        side = context.pace_side = PlatformSubsystem(
            ports,
            make_settings(configuration_apply_s=apply_s),
            clock,
            is_large_group=lambda: size == "large",
        )
        context.pace_task = asyncio.ensure_future(side.followers[0].run())
        # The first steps, and the pause after them, are over.
        await clock.advance(apply_s)
        store.asked = 0

    context.run_async(make())


@when("{count:d} configurations come to that gateway, one each {gap_s:g} s")
def step_come(context, count, gap_s):
    async def run():
        for _ in range(count):
            context.pace_store.put()
            await context.pace_clock.advance(gap_s)

    context.run_async(run())


@when("no configuration comes to that gateway for {duration_s:g} s")
def step_none(context, duration_s):
    context.run_async(context.pace_clock.advance(duration_s))


@then("that gateway asked the store for configurations {least:d} to {most:d} times meanwhile")
def step_asked(context, least, most):
    assert least <= context.pace_store.asked <= most, context.pace_store.asked


@then("the newest configuration was in force at that gateway within {after_s:g} s")
def step_in_force(context, after_s):
    context.run_async(context.pace_clock.advance(after_s))
    current = context.pace_side.configurations.current()
    assert current.version == context.pace_store.version, (current, context.pace_store.version)
