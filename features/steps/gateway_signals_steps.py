"""Steps on signals to a gateway's program."""

import asyncio
import json
import os
import shutil
import tempfile
from pathlib import Path
from random import Random

from behave import given, then, when
from gateway_soak_gateway import GRACE_S, SoakGateway
from gateway_soak_store import SoakStore

from indigoworks_lab.client.polling import becomes_true
from indigoworks_lab.gateway_soak.gateway_waits import is_ready
from indigoworks_lab.gateway_soak.held_ports import HeldPorts
from indigoworks_lab.gateway_soak.soak_documents import configuration, settings

START_TIMEOUT_S = 40.0
POLL_S = 0.01
BETWEEN_SIGNALS_S = 0.0005
NEW_SLACK = 33
CLEAN_UP = ("# clear sys", "# destroy", "# cleanup")


def make_gateway(context):
    folder = Path(tempfile.mkdtemp())
    context.add_cleanup(shutil.rmtree, folder)

    async def build():
        context.store = SoakStore(Random(1))
        context.store_address = context.store.start()
        context.store.put("op", "", "config", configuration(1, [1], 0, 10.0, 10_000))
        ports = HeldPorts()
        context.add_cleanup(ports.close)
        return SoakGateway("g0", ports, context.store_address, folder, [])

    context.program = context.run_async(build())
    context.add_cleanup(context.program.end)


@given("a gateway program that is reading its settings file")
def reading(context):
    make_gateway(context)

    async def start():
        os.mkfifo(context.program.path)
        context.program.spawn()
        while True:
            try:
                return os.open(context.program.path, os.O_WRONLY | os.O_NONBLOCK)
            except OSError:
                # Nobody has opened it for reading yet.
                await asyncio.sleep(POLL_S)

    context.settings_pipe = context.run_async(start())


@when("the settings file changes and a SIGHUP comes to the gateway program")
def change_and_hang_up(context):
    context.program.write_settings(retry_slack=NEW_SLACK)
    context.program.process.hang_up()
    first = settings(context.program, context.store_address, GRACE_S)
    with os.fdopen(context.settings_pipe, "w") as pipe:
        pipe.write(json.dumps(first))


@given("a gateway program that is ready")
def ready_program(context):
    make_gateway(context)

    async def start():
        context.program.start()

    context.run_async(start())
    becomes_ready(context)


@given("a gateway program that is ready, whose Python tells what it does")
def talkative_program(context):
    make_gateway(context)

    async def start():
        context.program.write_settings()
        context.program.spawn("PYTHONVERBOSE=1")

    context.run_async(start())
    becomes_ready(context)


@then("the gateway program becomes ready")
def becomes_ready(context):
    program = context.program

    async def wait():
        return await becomes_true(lambda: is_ready(program), START_TIMEOUT_S)

    assert context.run_async(wait())
    assert program.process.exit_code() is None, program.process.exit_code()


def messages(context):
    lines = context.program.process.log_text().splitlines()
    return [json.loads(line) for line in lines]


@then("the gateway program took on the changed settings")
def took_on(context):
    async def reloads():
        return [each for each in messages(context) if each["message_type"] == "process:reload"]

    assert context.run_async(becomes_true(reloads, START_TIMEOUT_S))
    (line,) = context.run_async(reloads())
    assert line["changed"] == {"retry_slack": NEW_SLACK}, line


@when("a SIGTERM comes to the gateway program and SIGHUPs until its end")
def many_signals(context):
    async def send():
        process = context.program.process
        context.program.terminate()
        while process.exit_code() is None:
            process.hang_up()
            await asyncio.sleep(BETWEEN_SIGNALS_S)

    context.run_async(send())


@then("the gateway program ended with exit code 0 and wrote that it has stopped")
def ended(context):
    assert context.program.process.exit_code() == 0, context.program.process.exit_code()
    # A SIGHUP that came before the loop ended may be carried out, and told, after this line.
    types = [each["message_type"] for each in messages(context)]
    assert types.count("process:stopped") == 1, types


@when("a SIGTERM comes to the gateway program and it ends")
def terminate_and_end(context):
    async def stop():
        context.program.terminate()
        await context.program.ended()

    context.run_async(stop())


@then("the gateway program wrote that it has stopped, and nothing of Python's own clean-up")
def no_clean_up(context):
    assert context.program.process.exit_code() == 0
    text = context.program.process.log_text()
    assert "import 'asyncio'" in text, "Python does not tell what it does"
    assert text.count('"process:stopped"') == 1
    found = [line for line in text.splitlines() if line.startswith(CLEAN_UP)]
    assert not found, found[:3]
