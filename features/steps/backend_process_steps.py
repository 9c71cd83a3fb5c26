"""Steps of the stand-in back end as a process."""

import asyncio
import json
import socket
import tempfile
from dataclasses import replace
from pathlib import Path
from typing import Any

from backend_steps import request
from behave import given, then, when

from indigoworks.backend.errors import BackendAnswerLost
from indigoworks.backend.http_backend_control import HttpBackendControl
from indigoworks.backend.http_backend_requests import HttpBackendRequests
from indigoworks.backend.http_message import HttpMessage
from indigoworks.backend.http_sender import HttpSender
from indigoworks.common.address import Address
from indigoworks.common.clock import LoopClock
from indigoworks_lab.launcher.free_ports import FreePorts
from indigoworks_lab.launcher.launcher import Launcher
from indigoworks_lab.launcher.readiness import wait_until_ready
from indigoworks_lab.load.direct_lease import WHOLE_SPACE, DirectLease

TIMEOUT_S = 30.0


def start_process(context: Any, port: int) -> None:
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    launcher = Launcher(Path(directory.name))
    context.add_cleanup(launcher.end_all)
    context.address = Address("127.0.0.1", port)
    flags = ["server", "--name=server-1", "--service=catalogue", "--zone=zone-1", f"--port={port}"]
    context.process = launcher.start("server-1", "indigoworks-lab", flags)


@given("a stand-in back end as a process, under a lease")
def start_leased(context: Any) -> None:
    start_process(context, FreePorts(context.random).next_port())

    async def lease() -> None:
        url = f"http://{context.address}/control/status"
        ready = await wait_until_ready(context.process, url, TIMEOUT_S)
        assert ready.is_ok(), ready
        context.lease = DirectLease(context.address, LoopClock())
        context.incarnation = (await context.lease.start()).unwrap().incarnation
        await set_faults(context, slow_factor=50.0)

    context.run_async(lease())


async def set_faults(context: Any, **faults: Any) -> None:
    message = HttpMessage("POST", "/lab/faults", (), json.dumps(faults).encode())
    sent = await HttpSender(LoopClock(), 1).send(context.address, lambda: message, TIMEOUT_S)
    assert sent.unwrap().status == 200, sent


@when('it is told to end under requests for "{path}"')
def end_under(context: Any, path: str) -> None:
    context.run_async(set_faults(context, ends_under=path))


@when('a request for "{path}" is sent to it')
def send_path(context: Any, path: str) -> None:
    context.sent = context.run_async(send(context, "try", path=f"/v1/catalogue{path}"))


@then("the answer of that request is lost")
def is_lost(context: Any) -> None:
    assert isinstance(context.sent.unwrap_err(), BackendAnswerLost), context.sent


async def send(context: Any, request_id: str, **fields: Any) -> Any:
    own = {
        "token": WHOLE_SPACE.token,
        "server_incarnation": context.incarnation,
        "remaining_s": TIMEOUT_S,
        **fields,
    }
    owned = replace(request(request_id), **own)
    return await HttpBackendRequests(LoopClock()).send(context.address, owned)


@when("it gets SIGTERM while a request runs there")
def terminate(context: Any) -> None:
    async def run() -> None:
        sending = asyncio.ensure_future(send(context, "running"))
        await wait_for_log(context, "backend:started")
        await asyncio.sleep(0.1)
        context.process.terminate()
        await wait_for_log(context, "backend:draining")
        context.sent = await sending

    context.run_async(run())


async def wait_for_log(context: Any, message_type: str) -> None:
    while message_type not in context.process.log_text():
        await asyncio.sleep(0.01)
        assert context.process.exit_code() is None


@then("the answer of that request is whole")
def is_whole(context: Any) -> None:
    assert json.loads(context.sent.unwrap().body)["request_id"] == "running"


@then("it says that it is draining, and still runs requests")
def still_runs(context: Any) -> None:
    async def check() -> None:
        control = HttpBackendControl(LoopClock())
        status = (await control.read_status(context.address, TIMEOUT_S)).unwrap()
        assert status.is_draining
        assert (await send(context, "later")).unwrap().status == 200
        assert "backend:emptied" not in context.process.log_text()

    context.run_async(check())


@when("its lease is not renewed any more")
def stop_lease(context: Any) -> None:
    context.run_async(context.lease.stop())
    context.run_async(wait_for_log(context, "backend:emptied"))


@then("it ends with exit code {code:d}")
def ends_with(context: Any, code: int) -> None:
    assert context.run_async(context.process.wait(TIMEOUT_S)).unwrap() == code


@given("a port that is taken")
def take_port(context: Any) -> None:
    taken = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(taken.close)
    context.port = taken.getsockname()[1]


@when("a stand-in back end is started on that port")
def start_on_taken(context: Any) -> None:
    start_process(context, context.port)
