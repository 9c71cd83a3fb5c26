"""Steps on the launcher, with the platform stand-in as the process."""

import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from random import Random

from behave import given, then, when

from indigoworks_lab.launcher.deployment import Deployment
from indigoworks_lab.launcher.free_ports import FreePorts
from indigoworks_lab.launcher.launcher import Launcher
from indigoworks_lab.launcher.plan_deployment import plan_deployment
from indigoworks_lab.launcher.readiness import wait_until_ready

LAUNCHER_PROGRAM = """
import asyncio, sys, time
from pathlib import Path
from random import Random
from indigoworks_lab.launcher.deployment import Deployment
from indigoworks_lab.launcher.free_ports import FreePorts
from indigoworks_lab.launcher.launcher import Launcher
from indigoworks_lab.launcher.plan_deployment import plan_deployment
plan = plan_deployment(["zone-a"], [], FreePorts(Random()))
deployment = Deployment(plan, Launcher(Path(sys.argv[1])))
asyncio.run(deployment.start_platform()).unwrap()
print(plan.platform.port, flush=True)
time.sleep(600)
"""
STOP_TIMEOUT_S = 20.0
READY_TIMEOUT_S = 20.0
SILENCE_S = 0.3
POLL_INTERVAL_S = 0.05
CLOSED_WITHIN_POLLS = 400


def open_launcher(context):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.launcher = Launcher(Path(directory.name))
    context.add_cleanup(context.launcher.end_all)


@given("a launched platform stand-in")
def launch_platform(context):
    open_launcher(context)
    plan = plan_deployment(["zone-a"], [], FreePorts(Random()))
    context.url = f"{plan.platform_url}/machines"
    ready = context.run_async(Deployment(plan, context.launcher).start_platform())
    assert ready.is_ok(), ready
    context.process = context.launcher.processes["platform"]


@when("the launcher {action:w} it")
def act_on_process(context, action):
    actions = {
        "terminates": context.process.terminate,
        "kills": context.process.kill,
        "freezes": context.process.freeze,
        "thaws": context.process.thaw,
    }
    actions[action]()


@when("the launcher's context ends")
def end_context(context):
    context.launcher.__exit__(None, None, None)


@then("its exit code is {code:d}")
def exit_code_is(context, code):
    ended = context.run_async(context.process.wait(STOP_TIMEOUT_S))
    assert ended.is_ok() and ended.unwrap() == code, ended


@then("it does not answer")
def does_not_answer(context):
    answered = context.run_async(wait_until_ready(context.process, context.url, SILENCE_S))
    assert answered.is_err(), "a frozen process answered"


@then("it answers")
def does_answer(context):
    answered = context.run_async(wait_until_ready(context.process, context.url, READY_TIMEOUT_S))
    assert answered.is_ok(), answered


@when("the launcher starts a platform stand-in without a port")
def start_without_port(context):
    open_launcher(context)
    process = context.launcher.start("platform", "indigoworks-lab", ["platform"])
    url = "http://127.0.0.1:9/machines"
    context.ready = context.run_async(wait_until_ready(process, url, READY_TIMEOUT_S))


@then("the launcher reports it as not ready with its output")
def not_ready(context):
    error = context.ready.unwrap_err()
    assert error.kind == "process_not_ready" and "ended with code 2" in error.message, error
    assert "port" in error.remedy, error


@given("a launcher in a process of its own that has launched a platform stand-in")
def launcher_process(context):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    command = [sys.executable, "-c", LAUNCHER_PROGRAM, directory.name]
    context.launcher_process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    context.add_cleanup(context.launcher_process.wait)
    context.add_cleanup(context.launcher_process.kill)
    context.platform_port = int(context.launcher_process.stdout.readline())
    assert is_listening(context.platform_port)


@when("that launcher's process is killed")
def kill_launcher_process(context):
    context.launcher_process.kill()
    context.launcher_process.wait()


@then("nothing listens any more where the platform stand-in did")
def nothing_listens(context):
    for _ in range(CLOSED_WITHIN_POLLS):
        if not is_listening(context.platform_port):
            return
        time.sleep(POLL_INTERVAL_S)
    raise AssertionError("the platform stand-in outlived its launcher")


def is_listening(port):
    with socket.socket() as probe:
        return probe.connect_ex(("127.0.0.1", port)) == 0
