"""Steps for processes whose needed tasks end by themselves."""

import asyncio
from random import Random

import detangle
from behave import given, then, when

from indigoworks.cli.run_process import run_process
from indigoworks.common.clock import LoopClock
from indigoworks.controller.controller import Controller
from indigoworks.controller.controller_ports import ControllerPorts
from indigoworks.settings import ControllerSettings

SETTINGS = ControllerSettings(
    name="controller-a",
    zone="a",
    host="10.0.0.1",
    control_port=7000,
    http_port=8000,
    platform_url="http://10.0.0.9:80",
)


class FaultyTable:
    """A table service with a programming fault."""

    async def read(self, key):
        raise RuntimeError("a fault of the adapter")

    async def transact(self, writes):
        raise RuntimeError("a fault of the adapter")


class Part:
    """A part of a process, or its HTTP side, that notes what is done to it."""

    def __init__(self, fails_after_s=None):
        self.fails_after_s = fails_after_s
        self.calls = []

    async def start(self):
        self.calls.append("start")

    async def stop(self):
        self.calls.append("stop")

    async def wait_failed(self):
        await asyncio.sleep(1e9 if self.fails_after_s is None else self.fails_after_s)
        return "a task ended"


class HttpSide(Part):
    """The HTTP side; starting it does not wait."""

    def start(self):
        self.calls.append("start")


class Stop:
    """A stop signal that comes after 5 s, or never."""

    def __init__(self, comes):
        self.comes = comes

    def listen(self):
        pass

    async def wait(self):
        await asyncio.sleep(5.0 if self.comes else 1e9)


@given("process failure: a controller whose table service raises a programming fault")
def faulty_controller(context):
    async def main():
        ports = ControllerPorts(LoopClock(), FaultyTable(), None, None, None)
        controller = Controller(SETTINGS, ports, Random(1))
        await controller.start()
        async with asyncio.timeout(30.0):
            return await controller.wait_failed()

    context.run = main


@when("process failure: the controller runs")
def controller_runs(context):
    context.reason = detangle.run(context.run, reorder=False, fail_on_unobserved=False)


@then('process failure: it reports that "{task}" ended with "{error}"')
def reports(context, task, error):
    assert context.reason.startswith(f"{task} ended: {error}"), context.reason


@given("process failure: a part that fails after {seconds:d} s")
def failing_part(context, seconds):
    context.part = Part(fails_after_s=seconds)


@given("process failure: a part that never fails")
def lasting_part(context):
    context.part = Part()


def run_with(context, comes):
    context.http = HttpSide()
    context.outcome = detangle.run(
        lambda: run_process(context.part, context.http, SETTINGS, Stop(comes)), reorder=False
    )


@when("process failure: the process runs")
def process_runs(context):
    run_with(context, comes=False)


@when("process failure: the process runs and is asked to stop")
def process_is_stopped(context):
    run_with(context, comes=True)


@then('process failure: it stopped both sides and ended with "{kind}"')
def ended_with(context, kind):
    assert context.outcome.unwrap_err().kind == kind, context.outcome
    assert context.http.calls == ["start", "stop"], context.http.calls


@then("process failure: it stopped both sides and ended well")
def ended_well(context):
    assert context.outcome.is_ok(), context.outcome
    assert context.http.calls == ["start", "stop"], context.http.calls
