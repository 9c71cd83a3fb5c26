"""Steps on the command line."""

import io
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request
from contextlib import closing, redirect_stderr, redirect_stdout
from pathlib import Path
from unittest.mock import patch

from admin_steps import field_of
from behave import given, then, when
from cli_node import CommandNode
from tornado.testing import bind_unused_port

from indigoworks.cli.admin_client import AdminClient
from indigoworks.cli.main import main
from indigoworks.cli.node_address import NODE_VARIABLE

REPOSITORY = Path(__file__).parents[2]
PROCESS_TIMEOUT_S = 30
POLLS = 300
POLL_INTERVAL_S = 0.1
CUT = "connection cut after it took effect"


def start_node(context, **options):
    context.node = CommandNode(**options)
    context.add_cleanup(context.node.stop)


@given("a node of the command line")
def node(context):
    start_node(context)


@given("a node of the command line, named by the environment")
def node_of_environment(context):
    start_node(context)
    context.environment = {NODE_VARIABLE: context.node.url}


@given('a node of the command line whose changes fail as "{failure}"')
def failing_node(context, failure):
    start_node(context, cuts_answers=failure == CUT)
    context.node.plane.failure = failure


@given("a tree file with the weight {weight:d}")
def tree_file(context, weight):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.file = Path(directory.name) / "tree.yaml"
    context.file.write_text(f"services: {{shop: {{weight: {weight}.0}}}}\n")


@when('the command line is "{line}"')
def command_line(context, line):
    arguments = [] if line == "nothing" else line.split()
    if "FILE" in arguments:
        arguments[arguments.index("FILE")] = str(context.file)
    if "NODE" in arguments:
        arguments[arguments.index("NODE")] = context.node.url
    arguments = [str(REPOSITORY / each) if each.startswith("etc/") else each for each in arguments]
    without_node = {name: value for name, value in os.environ.items() if name != NODE_VARIABLE}
    environment = without_node | getattr(context, "environment", {})
    output, errors = io.StringIO(), io.StringIO()
    with (
        patch.dict(os.environ, environment, clear=True),
        patch.object(AdminClient, "pause"),
        redirect_stdout(output),
        redirect_stderr(errors),
    ):
        context.exit_code = main(arguments)
    context.output, context.errors = output.getvalue(), errors.getvalue()


@then("the command line ends with {code:d}")
@then("the process of the command line ends with {code:d}")
def ends_with(context, code):
    assert context.exit_code == code, (context.exit_code, context.output, context.errors)


@then('its error is one message naming "{text}"')
def one_message(context, text):
    lines = context.errors.splitlines()
    assert len(lines) == 1, context.errors
    assert lines[0].startswith("indigoworks: "), lines
    assert text in lines[0], lines


@then('its error names "{text}"')
def error_names(context, text):
    assert text in context.errors, context.errors


@then('it prints "{text}"')
def prints(context, text):
    assert text in context.output, context.output
    assert not context.errors, context.errors


@then('the command line says "{text}"')
def says(context, text):
    assert text in context.output + context.errors, (context.output, context.errors)


@then('its JSON has "{field}" as {value}')
def json_has(context, field, value):
    found = field_of(json.loads(context.output), field)
    assert found == json.loads(value), found


@then("the node still has version {version:d}")
def still_has_version(context, version):
    assert context.node.plane.control_state.settings_version == version


def process_arguments(process, http_port):
    listener, control_port = bind_unused_port()
    listener.close()
    flags = {
        "name": f"{process}-a",
        "zone": "zone-a",
        "host": "127.0.0.1",
        "control-port": control_port,
        "http-port": http_port,
        "platform-url": "http://127.0.0.1:1",
        "seed": 1,
    }
    program = [
        sys.executable,
        "-c",
        "import sys; from indigoworks.cli.main import main; sys.exit(main())",
    ]
    return [*program, process, *(f"--{name}={value}" for name, value in flags.items())]


def start_process(context, process, http_port):
    started = subprocess.Popen(
        process_arguments(process, http_port),
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    context.add_cleanup(lambda: started.poll() is None and started.kill())
    return started


def finish_process(context, started):
    context.output, context.errors = started.communicate(timeout=PROCESS_TIMEOUT_S)
    context.exit_code = started.returncode


def wait_until_serving(port):
    """Poll the metrics; health is 503, since the process finds no other one."""
    for _ in range(POLLS):
        try:
            with urllib.request.urlopen(f"http://127.0.0.1:{port}/metrics") as response:
                assert response.status == 200
                return
        except OSError:
            time.sleep(POLL_INTERVAL_S)
    raise AssertionError("the process does not serve")


@when("a {process} process of the command line runs and gets {name}")
def run_process(context, process, name):
    listener, port = bind_unused_port()
    listener.close()
    started = start_process(context, process, port)
    wait_until_serving(port)
    started.send_signal(signal.Signals[name])
    finish_process(context, started)


@when("a controller process of the command line finds its HTTP port in use")
def port_in_use(context):
    with closing(socket.create_server(("127.0.0.1", 0))) as occupied:
        started = start_process(context, "controller", occupied.getsockname()[1])
        finish_process(context, started)


@then('it has logged "{message_type}" as JSON lines only')
def has_logged(context, message_type):
    lines = [json.loads(each) for each in context.output.splitlines()]
    types = [each.get("message_type") for each in lines]
    assert message_type in types, types
    assert not context.errors, context.errors
