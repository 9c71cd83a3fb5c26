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


@when("all controllers are lost and one of them forms the next generation alone")
def step_alone(context):
    script = context.script

    async def lose_all():
        for host in script.deployment.controllers.values():
            host.process.kill(is_silent=True)
        script.deployment.start_controller("controller-1", 0)
        script.deployment.start_controller("controller-2", 1)
        return await script.leader()

    alone = script.run(lose_all())
    status = alone.controller.node.status
    context.generation = status.generation
    voters = [voter.name for voter in status.configuration.voters]
    assert voters == [alone.settings.name], voters


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


@then("a controller leads a later generation within 60 s")
def step_later(context):
    leader = context.script.run(context.script.leader())
    assert leader.controller.node.status.generation > context.generation
