"""Routers in the simulator, with controllers and back ends under the scenario's control."""

import asyncio
import json
from random import Random

import detangle
from router_fakes import (
    FakeBackends,
    FakeController,
    FakeMachines,
    FakeObjects,
    address_of,
    range_message,
    server_message,
    state_message,
    with_owner,
)

from indigoworks.common.address import Address
from indigoworks.common.clock import LoopClock
from indigoworks.platform.machine_record import MachineRecord
from indigoworks.router.caller_request import CallerRequest
from indigoworks.router.router import Router
from indigoworks.router.router_ports import RouterPorts
from indigoworks.settings.router_settings import RouterSettings

TREE = {
    "defaults": {
        "request_timeout_s": 2.0,
        "max_body_bytes": 1000,
        "repeatable_methods": ["GET", "HEAD"],
        "retry_limit": 2,
        "retry_budget_ratio": 0.1,
    },
    "groups": {"retail": {"weight": 1.0}},
    "services": {"shop": {"repeatable_paths": ["/stock"]}},
}
WARM_UP_S = 3.5
"""Long enough for a view, and for the servers to count as warm."""


class World:
    """Two controllers, any number of routers, two servers `alpha` and `beta`; alpha owns all."""

    def __init__(self):
        self.backends = FakeBackends()
        self.alpha = server_message("alpha", "z1", 9001)
        self.beta = server_message("beta", "z2", 9002)
        tree = json.dumps(TREE).encode()
        state = state_message(tree, [self.alpha, self.beta], [range_message("alpha", 1)])
        self.controllers = [
            FakeController(Address(f"10.1.0.{number}", 7000), state) for number in (1, 2)
        ]
        self.machines = FakeMachines(
            MachineRecord(f"c{number}", "controller", "", f"z{number}", f"10.1.0.{number}", 7000)
            for number in (1, 2)
        )
        self.routers = {}
        self.objects = FakeObjects()

    async def start(self, *names, warm_up_s=WARM_UP_S):
        for number, controller in enumerate(self.controllers, 1):
            await detangle.spawn(controller.server.start(), host=f"10.1.0.{number}")
        for name in names:
            await self.start_router(name)
        members = [router.member for router in self.routers.values()]
        self.change(routers=members)
        await asyncio.sleep(warm_up_s)

    async def start_router(self, name):
        number = name[-1]
        settings = RouterSettings(
            name=name,
            zone=f"z{number}",
            host=f"10.2.0.{number}",
            control_port=7000,
            http_port=8000,
            platform_url="http://10.3.0.1:80",
            controllers=["10.1.0.1:7000", "10.1.0.2:7000"],
        )
        ports = RouterPorts(LoopClock(), self.machines, self.backends, self.objects)
        self.routers[name] = Router(settings, ports, Random(int(number)))
        await detangle.spawn(self.routers[name].start(), host=settings.host)

    def change(self, **changes):
        for controller in self.controllers:
            controller.change(**changes)

    def move(self, owner, token):
        """Make `owner` the owner of all keys under `token`."""
        controller = self.controllers[0]
        state = with_owner(controller.state, owner, token)
        self.change(state=state, version=controller.version + 1)

    def send(self, router, request_id, method="GET", **fields):
        request = CallerRequest(
            request_id=request_id,
            service=fields.pop("service", "shop"),
            key=fields.pop("key", b"item"),
            group=fields.pop("group", "retail"),
            method=method,
            path=fields.pop("path", "/v1/shop/item"),
            **fields,
        )
        return detangle.spawn(self.routers[router].handle(request), host=f"10.2.0.{router[-1]}")

    def cut(self, router):
        """Let nothing in or out of a router's host; its connections stay open."""
        others = [f"10.1.0.{number}" for number in (1, 2)]
        others += [f"10.2.0.{name[-1]}" for name in self.routers if name != router]
        detangle.network().partition([f"10.2.0.{router[-1]}"], others)

    @property
    def alpha_address(self):
        return address_of(self.alpha)

    @property
    def beta_address(self):
        return address_of(self.beta)


def simulate(script, seed=None):
    """Run `script(world)` in virtual time and return what it returns."""

    async def main():
        world = World()
        return await script(world)

    return detangle.run(main, seed=seed)


async def timed(response):
    """Return the response and how long it took, in seconds."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    return await response, loop.time() - started_s


def keep(context, script):
    """Run the script; what it returns is `context.result`, its world `context.world`."""

    async def kept(world):
        context.world = world
        return await script(world)

    context.result = simulate(kept)


def error_kind(response):
    return response.error.kind if response.error is not None else ""
