"""Steps that bring about the events behind faults that seeds have found."""

import asyncio
from random import Random

from behave import given, then, when
from detangle._config import NetConfig, SimConfig

from indigoworks_lab.simulation.core.disposal import dispose
from indigoworks_lab.simulation.core.faulty_loop import FaultyLoop
from indigoworks_lab.simulation.core.faulty_network import FaultyNetwork
from indigoworks_lab.simulation.core.poll_until import poll_until
from indigoworks_lab.simulation.core.simulated_process import SimulatedProcess
from indigoworks_lab.simulation.deployment import Deployment
from indigoworks_lab.simulation.deployment_shape import DeploymentShape
from indigoworks_lab.simulation.simulation import Simulation
from indigoworks_lab.simulation.workload.operators import Operators
from indigoworks_lab.simulation.workload.recorder import Recorder

WAIT_S = 60.0
SETTLED_S = 5.0
LOOKS = 400
LOOK_S = 0.005


class Script:
    """A deployment on virtual time that lives on between steps."""

    def __init__(self):
        SimulatedProcess.restart_numbering()
        config = NetConfig(tcp_timeout=10.0)
        self.loop = FaultyLoop(SimConfig(reorder=False, max_steps=10_000_000, net=config))
        self.loop.use_network(lambda: FaultyNetwork(self.loop, config, Random(1)))
        self.simulation = Simulation(1, self.loop, self.loop.net, Recorder(self.loop))
        self.deployment = self.run(self.make())

    async def make(self):
        return Deployment(self.simulation, DeploymentShape())

    def run(self, work):
        return self.loop.run_until_complete(self.loop.create_task(work))

    def close(self):
        self.deployment = self.simulation = None
        dispose(self.loop)

    async def leader(self):
        async with asyncio.timeout(WAIT_S):
            await poll_until(lambda: self.deployment.leader() is not None)
        return self.deployment.leader()


@given("a simulated deployment that serves")
def step_deployment(context):
    script = context.script = Script()
    context.add_cleanup(script.close)

    async def begin():
        script.deployment.start()
        await Operators(script.deployment).put_first_settings()
        await asyncio.sleep(SETTLED_S)

    script.run(begin())


@when("all controllers are lost and one of two that start again leads")
def step_one_leads(context):
    script = context.script
    first = script.run(script.leader())
    context.ranges = {str(record) for record in first.control_state.ranges()}
    assert context.ranges
    context.epoch = first.controller.node.status.term

    async def lose_all():
        for host in script.deployment.controllers.values():
            host.process.kill(is_silent=True)
        script.deployment.start_controller("controller-1", 0)
        script.deployment.start_controller("controller-2", 1)
        return await script.leader()

    alone = script.run(lose_all())
    epoch = alone.controller.node.status.term
    assert epoch > context.epoch, (epoch, context.epoch)
    context.epoch = epoch


@when("it is lost with its machine at once and all controllers are replaced under new names")
def step_replace_all(context):
    deployment = context.script.deployment

    async def replace_all():
        for name, host in list(deployment.controllers.items()):
            host.process.kill(is_silent=True)
            del deployment.controllers[name]
            deployment.unlist(name)
        for position in range(3):
            deployment.start_controller(f"replacement-{position + 1}", 30 + position)

    context.script.run(replace_all())


@then("a controller leads a later epoch within 60 s")
def step_later(context):
    context.leader = context.script.run(context.script.leader())
    assert context.leader.controller.node.status.term > context.epoch


@then("it holds every range as it was before the loss, under the same tokens")
def step_same_ranges(context):
    kept = {str(record) for record in context.leader.control_state.ranges()}
    assert kept == context.ranges, kept ^ context.ranges


@when("the leading controller is frozen until another one leads, and 1 s more")
def step_freeze_leader(context):
    script = context.script

    async def freeze():
        frozen = await script.leader()
        context.frozen, context.epoch = frozen, frozen.controller.node.status.term
        frozen.process.freeze()
        context.leading = []
        others = [each for each in script.deployment.controllers.values() if each is not frozen]
        async with asyncio.timeout(WAIT_S):
            await poll_until(lambda: any(each.is_leading for each in others))
        await asyncio.sleep(1.0)
        frozen.process.thaw()
        for _ in range(LOOKS):
            context.leading.append(
                [
                    (each.settings.name, each.controller.node.status.term)
                    for each in script.deployment.controllers.values()
                    if each.is_leading
                ]
            )
            await asyncio.sleep(LOOK_S)

    script.run(freeze())


@then("no look finds it leading under its old epoch after its return")
def step_acts_no_more(context):
    old = (context.frozen.settings.name, context.epoch)
    assert not any(old in leading for leading in context.leading)


@then("no look finds two controllers leading")
def step_one_leader(context):
    assert any(context.leading), "no look found a leader"
    assert all(len(leading) <= 1 for leading in context.leading)
