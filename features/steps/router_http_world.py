"""A router with its HTTP server on loopback."""

import asyncio
import json
from random import Random

from router_fakes import (
    FakeBackends,
    FakeController,
    FakeMachines,
    FakeObjects,
    range_message,
    server_message,
    state_message,
)
from router_world import TREE
from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient
from tornado.testing import bind_unused_port

from indigoworks.admin.health_report import HealthReport
from indigoworks.admin.http_handlers import admin_http_handlers
from indigoworks.common.address import Address
from indigoworks.common.clock import LoopClock
from indigoworks.router.http_server import RouterHttpServer
from indigoworks.router.router import Router
from indigoworks.router.router_ports import RouterPorts
from indigoworks.settings.router_settings import RouterSettings

HOST = "127.0.0.1"
LONG_S = 30.0


def free_port():
    listener, port = bind_unused_port()
    listener.close()
    return port


def start_router(context):
    """Start a controller and a router; `context.run_async` runs them from then on."""

    async def run():
        state = state_message(
            json.dumps(TREE).encode(), [server_message("alpha")], [range_message("alpha", 1)]
        )
        control = Address(HOST, free_port())
        context.controller = FakeController(control, state)
        await context.controller.server.start()
        context.backends = FakeBackends(service_s=0.0)
        settings = RouterSettings(
            name="r1",
            zone="z1",
            host=HOST,
            control_port=free_port(),
            http_port=free_port(),
            platform_url="http://127.0.0.1:1",
            controllers=[str(control)],
        )
        context.port = settings.http_port
        ports = RouterPorts(LoopClock(), FakeMachines(), context.backends, FakeObjects())
        context.router = Router(settings, ports, Random(1))
        rules = admin_http_handlers(
            context.router.administration,
            context.router.metrics.registry,
            lambda: HealthReport(context.router.in_force() is not None),
        )
        context.http = RouterHttpServer(context.router, settings.http_address, rules)
        await context.router.start()
        context.http.start()
        await until(lambda: context.router.in_force() is not None)

    context.run_async(run())


async def until(condition):
    async with asyncio.timeout(LONG_S):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.005)


def fetch(context, method, path, body=None, headers=None):
    async def run():
        client = SimpleAsyncHTTPClient(force_instance=True)
        request = HTTPRequest(
            f"http://{HOST}:{context.port}{path}",
            method=method,
            body=body,
            headers=headers,
            allow_nonstandard_methods=True,
            request_timeout=LONG_S,
        )
        return await client.fetch(request, raise_error=False)

    return run()


def send(context, method, path, **fields):
    context.response = context.run_async(fetch(context, method, path, **fields))
