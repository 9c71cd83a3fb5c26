"""Back ends, controllers and machine lists under the control of the router's scenarios."""

import asyncio
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from result import Err, Ok

from indigoworks.backend.backend_response import BackendResponse
from indigoworks.backend.errors import BackendAnswerLost, BackendUnreachable
from indigoworks.common.address import Address
from indigoworks.platform.errors import PlatformUnavailable
from indigoworks.wire import control_pb2
from indigoworks.wire.rpc_server import RpcServer

HOLD_S = 0.25
LOST = Err(BackendAnswerLost("The answer was lost.", "Look it up."))
UNREACHABLE = Err(BackendUnreachable("No connection.", "Check the server."))
WRONG_OWNER = Ok(BackendResponse(421, (), b"", is_wrong_owner=True))
SHED = Ok(BackendResponse(503, (), b"", is_shed=True, retry_after_s=0.2))


@dataclass
class FakeBackends:
    """Serves each request in `service_s`, unless the script of its id says otherwise."""

    service_s: float = 0.05
    script: dict = field(default_factory=lambda: defaultdict(list))
    tokens: dict = field(default_factory=dict)
    sent: list = field(default_factory=list)
    cancelled: list = field(default_factory=list)
    in_flight: Counter = field(default_factory=Counter)
    most_in_flight: Counter = field(default_factory=Counter)
    slow_until_s: float = 0.0

    async def send(self, address, request):
        self.sent.append((asyncio.get_running_loop().time(), address, request))
        self.in_flight[address] += 1
        self.most_in_flight[address] = max(self.most_in_flight[address], self.in_flight[address])
        try:
            return await self.answer(address, request)
        except asyncio.CancelledError:
            self.cancelled.append(request.request_id)
            raise
        finally:
            self.in_flight[address] -= 1

    async def answer(self, address, request):
        planned = self.script[request.request_id]
        if planned:
            await asyncio.sleep(0.001)
            return planned.pop(0)
        if self.tokens.get(address, request.token) != request.token:
            return WRONG_OWNER
        try:
            async with asyncio.timeout(request.remaining_s):
                await asyncio.sleep(self.service_s)
        except TimeoutError:
            return LOST
        return Ok(BackendResponse(200, (("X-Server", str(address)),), b"whole " + request.body))

    def times_sent(self, request_id):
        return sum(request.request_id == request_id for _, _, request in self.sent)

    def addresses(self, request_id):
        return [each for _, each, request in self.sent if request.request_id == request_id]


class FakeMachines:
    def __init__(self, records=()):
        self.records = list(records)

    async def machines(self):
        return Ok(self.records)


class FakeObjects:
    """An object store with at most one object, which may be down."""

    def __init__(self, content=None, is_down=False):
        self.content = content
        self.is_down = is_down

    async def get(self, name):
        if self.is_down:
            return Err(PlatformUnavailable("down", "later"))
        return Ok(self.content)


class FakeController:
    """Answers polls from a state that the scenario changes."""

    def __init__(self, address, state, version=1, generation=1):
        self.state = state
        self.version = version
        self.generation = generation
        self.staleness_s = 0.0
        self.is_silent = False
        self.routers = []
        self.deltas = {}
        self.polls = []
        self.admin_calls = []
        self.server = RpcServer(address, self.handle)
        self._changed = asyncio.Event()

    def change(self, **changes):
        for name, value in changes.items():
            setattr(self, name, value)
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, frame):
        if frame.WhichOneof("payload") == "admin_request":
            self.admin_calls.append(frame.admin_request)
            return control_pb2.Frame(admin_reply=control_pb2.AdminReply(status=200, body=b"{}"))
        request = frame.view_request
        self.polls.append(request)
        if self.is_silent:
            await asyncio.Event().wait()
        is_same = request.known_generation == self.generation
        if is_same and request.known_version >= self.version:
            try:
                async with asyncio.timeout(HOLD_S):
                    await self._changed.wait()
            except TimeoutError:
                pass
        return control_pb2.Frame(view_reply=self.reply(request, is_same))

    def reply(self, request, is_same):
        reply = control_pb2.ViewReply(
            version=self.version,
            generation=self.generation,
            staleness_s=self.staleness_s,
            routers=self.routers,
            routers_version=len(self.routers) + 1,
        )
        known = request.known_version if is_same else 0
        if known in self.deltas and known < self.version:
            reply.delta.CopyFrom(self.deltas[known])
        elif known < self.version:
            reply.snapshot.CopyFrom(self.state)
        return reply


def server_message(name, zone="z1", port=9000, slots=2):
    return control_pb2.Server(
        name=name,
        incarnation=f"{name}-run",
        service="shop",
        zone=zone,
        host="10.9.0.1",
        port=port,
        slots=slots,
        state=control_pb2.SERVER_STATE_LIVE,
    )


def range_message(owner, token, **changes):
    fields = {"service": "shop", "start": 0, "end": 2**64 - 1, **changes}
    incarnation = f"{owner}-run" if owner else ""
    return control_pb2.RangeRecord(
        owner=owner, owner_incarnation=incarnation, token=token, **fields
    )


def state_message(tree, servers, ranges, settings_version=1):
    return control_pb2.ControlState(
        servers=servers, ranges=ranges, settings_version=settings_version, settings_tree=tree
    )


def address_of(server):
    return Address(server.host, server.port)


def with_owner(state, owner, token):
    changed = control_pb2.ControlState()
    changed.CopyFrom(state)
    del changed.ranges[:]
    changed.ranges.append(range_message(owner, token))
    return changed
