"""Steps on the simulated machines."""

import asyncio
from random import Random

from behave import given, then, when
from detangle._config import NetConfig, SimConfig

from indigoworks_lab.simulation.core.disposal import dispose
from indigoworks_lab.simulation.core.faulty_loop import FaultyLoop
from indigoworks_lab.simulation.core.faulty_network import FaultyNetwork
from indigoworks_lab.simulation.core.host_clock import MAX_DRIFT, HostClock
from indigoworks_lab.simulation.core.remote_call import CallEnd, RemoteCall
from indigoworks_lab.simulation.core.simulated_process import SimulatedProcess
from indigoworks_lab.simulation.faults.fault_plan import FaultPlan
from indigoworks_lab.simulation.run_plan import RunPlan
from indigoworks_lab.simulation.run_seed import run_seed

PORT = 7000
SHORT_PLAN = RunPlan(faults=FaultPlan(last_s=8.0), quiet_s=2.0)


class World:
    def __init__(self):
        config = NetConfig(retransmit_interval=0.05)
        self.loop = FaultyLoop(SimConfig(reorder=False, net=config))
        self.loop.use_network(lambda: FaultyNetwork(self.loop, config, Random(1)))
        self.first = SimulatedProcess(self.loop, "first", "10.1.0.1", "zone-1")
        self.second = SimulatedProcess(self.loop, "second", "10.2.0.1", "zone-2")

    def run(self, main):
        try:
            return self.loop.run_until_complete(self.loop.create_task(main))
        finally:
            dispose(self.loop)


async def at(moment_s):
    loop = asyncio.get_running_loop()
    await asyncio.sleep(moment_s - loop.time())


async def listen(host, arrivals):
    async def serve(reader, writer):
        await reader.readexactly(1)
        arrivals.append(asyncio.get_running_loop().time())

    await asyncio.start_server(serve, host, PORT)


async def send_at(host, moment_s):
    _, writer = await asyncio.open_connection(host, PORT)
    await at(moment_s)
    writer.write(b"x")


@given("two simulated processes")
def step_two_processes(context):
    context.world = World()


@when("the second counts ticks of 0.1 s and is frozen from 1.05 s to 4.05 s")
def step_ticks(context):
    world = context.world
    context.ticks = []
    clock = HostClock(world.loop, Random(1), 1.0)

    async def count():
        while True:
            await clock.sleep(0.1)
            context.ticks.append((world.loop.time(), clock.now()))

    async def main():
        world.second.spawn(count())
        await at(1.05)
        world.second.freeze()
        await at(4.05)
        world.second.thaw()
        await at(5.0)

    world.run(main())


@then("it counted no tick while it was frozen")
def step_no_tick(context):
    moments = [moment for moment, _ in context.ticks]
    assert any(moment < 1.05 for moment in moments) and any(moment > 4.05 for moment in moments)
    assert not any(1.05 < moment < 4.05 for moment in moments), moments


@then("it read its clock 3 s later right after its return")
def step_clock_jump(context):
    before = [reading for moment, reading in context.ticks if moment < 1.05][-1]
    after = next(reading for moment, reading in context.ticks if moment >= 4.05)
    assert abs(after - before - 3.05) < 0.001, after - before


@when("the first sends bytes to the second, which is frozen from 1.0 s to 3.0 s")
def step_send_to_frozen(context):
    world = context.world
    context.arrivals = []

    async def main():
        await world.second.spawn(listen(world.second.host, context.arrivals))
        world.first.spawn(send_at(world.second.host, 1.5))
        await at(1.0)
        world.second.freeze()
        await at(3.0)
        world.second.thaw()
        await at(4.0)

    world.run(main())


@then("the bytes arrive after 3.0 s")
def step_late_arrival(context):
    assert len(context.arrivals) == 1 and context.arrivals[0] >= 3.0, context.arrivals


@when("the second is killed while a task of it has a finally block to run")
def step_kill(context):
    world = context.world
    events = []

    async def work():
        events.append("begun")
        try:
            await asyncio.sleep(1.0)
        finally:
            events.append("cleaned up")

    async def main():
        world.second.spawn(work())
        await at(0.5)
        world.second.kill(is_silent=False)
        await at(3.0)
        context.events_at_end = list(events)

    world.run(main())


@then("the block was not run")
def step_not_cleaned(context):
    assert context.events_at_end == ["begun"], context.events_at_end


@when("the way from the {source} to the {target} is cut from 0.5 s to 2.0 s")
def step_cut_way(context, source, target):
    world = context.world
    processes = {"first": world.first, "second": world.second}
    context.arrivals_from = {source: [], target: []}

    async def main():
        for name, other in ((source, target), (target, source)):
            host = processes[other].host
            await processes[other].spawn(listen(host, context.arrivals_from[name]))
            processes[name].spawn(send_at(host, 0.6))
        await at(0.5)
        world.loop.net.cut_way(processes[source].host, processes[target].host)
        await at(2.0)
        world.loop.net.heal_way(processes[source].host, processes[target].host)
        await at(3.0)

    world.run(main())


@then("bytes from the {source} arrive after 2.0 s and bytes from the {target} before 1.0 s")
def step_cut_arrivals(context, source, target):
    [late] = context.arrivals_from[source]
    [prompt] = context.arrivals_from[target]
    assert late >= 2.0 and prompt < 1.0, context.arrivals_from


@given("the clocks of 50 simulated processes")
def step_clocks(context):
    context.world = World()
    context.clocks = [HostClock(context.world.loop, Random(seed)) for seed in range(50)]


@then("their rates lie within 1 % of true time and some lie on either bound")
def step_rates(context):
    rates = [clock.rate for clock in context.clocks]
    assert min(rates) == 1 - MAX_DRIFT and max(rates) == 1 + MAX_DRIFT, rates


@then("their sleeps last as long as their own clocks say")
def step_sleeps(context):
    async def measure(clock):
        begun = clock.now()
        await clock.sleep(5.0)
        return clock.now() - begun

    async def main():
        return await asyncio.gather(*(measure(clock) for clock in context.clocks))

    durations = context.world.run(main())
    assert all(abs(duration - 5.0) < 1e-6 for duration in durations), durations


def call_second(context, calls, prepare, timeout_s, run_s):
    world = context.world
    context.effects = []

    async def effect():
        context.effects.append(world.loop.time())
        return "done"

    async def main():
        prepare()
        calling = world.first.spawn(calls.call(world.first, world.second, effect, timeout_s))
        await at(3.0)
        world.loop.net.heal_way(world.first.host, world.second.host)
        await at(run_s)
        return calling.result()

    context.outcome = world.run(main())


@when("every answer of the second to the first is lost")
def step_lost_answers(context):
    calls = RemoteCall(Random(1))
    calls.lose_answers_ratio = 1.0
    call_second(context, calls, lambda: None, 1.0, 4.0)


@then("the call took effect and the first was told that the answer is missing")
def step_effect_and_loss(context):
    assert len(context.effects) == 1
    assert context.outcome.end is CallEnd.ANSWER_LOST


@when("the first calls the second over a connection that is cut for 3 s, and waits 1 s")
def step_call_over_cut(context):
    class OpenConnection(Random):
        def random(self):
            return 0.0

    def cut():
        context.world.loop.net.cut_way(context.world.first.host, context.world.second.host)

    call_second(context, RemoteCall(OpenConnection(1)), cut, 1.0, 4.0)


@then("the first was told that the answer is missing and the call took effect after 3 s")
def step_late_effect_of_call(context):
    assert context.outcome.end is CallEnd.ANSWER_LOST
    assert len(context.effects) == 1 and context.effects[0] >= 3.0, context.effects


@when("seed {seed:d} of a short mixed run is run twice")
def step_twice(context, seed):
    context.digests = [run_seed(seed, SHORT_PLAN).digest for _ in range(2)]


@when("seeds {first:d} and {second:d} of a short mixed run are run")
def step_two_seeds(context, first, second):
    context.digests = [run_seed(seed, SHORT_PLAN).digest for seed in (first, second)]


@then("both runs have the same histories")
def step_same(context):
    assert len(set(context.digests)) == 1, context.digests


@then("the runs have different histories")
def step_different(context):
    assert len(set(context.digests)) == 2, context.digests
