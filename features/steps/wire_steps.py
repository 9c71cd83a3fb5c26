"""Steps for the internal protocol, on the simulated network."""

import asyncio
import struct

import detangle
from behave import given, then, when

from indigoworks.common.address import Address
from indigoworks.wire.control_pb2 import ErrorReply, Frame, IdentityReply, IdentityRequest, Member
from indigoworks.wire.frame_codec import MAX_FRAME_BYTES
from indigoworks.wire.rpc_client import RpcClient
from indigoworks.wire.rpc_server import RpcServer

ADDRESS = Address("10.0.0.1", 7000)
TIMEOUT_S = 1.0
BAD_BYTES = {
    "a length over the bound": struct.pack("!I", MAX_FRAME_BYTES + 1),
    "a frame that is no frame": struct.pack("!I", 3) + b"\xff\xff\xff",
    "half a frame": struct.pack("!I", 100) + b"half",
}


async def fail(frame):
    raise RuntimeError("the handler fails")


async def refuse(frame):
    return Frame(error=ErrorReply(kind="busy", message="Busy.", remedy="Wait."))


async def never_end(frame):
    await asyncio.Event().wait()


async def echo(frame):
    name = str(frame.correlation_id)
    return Frame(identity_reply=IdentityReply(member=Member(name=name)))


async def later_first(frame):
    await asyncio.sleep(0.5 / frame.correlation_id)
    return await echo(frame)


HANDLERS = {
    "fails": fail,
    "refuses": refuse,
    "never ends": never_end,
    "echoes": echo,
    "answers later requests first": later_first,
}


@given("wire: a peer whose handler {behaviour}")
def peer_with_handler(context, behaviour):
    context.handler = HANDLERS[behaviour]


@given("wire: no peer")
def no_peer(context):
    context.handler = None


def with_peer(context, use):
    async def main():
        server = RpcServer(ADDRESS, context.handler)
        if context.handler is not None:
            await detangle.spawn(server.start(), host=ADDRESS.host)
        client = RpcClient(ADDRESS)
        try:
            return await use(client)
        finally:
            client.close()
            await server.stop()

    return detangle.run(main, reorder=False)


def call(client):
    return client.call(Frame(identity_request=IdentityRequest()), TIMEOUT_S)


@when("wire: a request is sent to it")
def send_request(context):
    context.called = with_peer(context, call)


@then('wire: the caller is told "{kind}"')
def told(context, kind):
    assert context.called.unwrap_err().kind == kind, context.called


@when("wire: another connection sends {name}")
def send_bad_bytes(context, name):
    async def use(client):
        before = await call(client)
        reader, writer = await asyncio.open_connection(ADDRESS.host, ADDRESS.port)
        writer.write(BAD_BYTES[name])
        if name == "half a frame":
            writer.write_eof()
        rest = await asyncio.wait_for(reader.read(), TIMEOUT_S)
        writer.close()
        return before, rest, await call(client)

    context.before, context.rest, context.after = with_peer(context, use)


@then("wire: that connection is closed")
def connection_closed(context):
    assert context.rest == b"", context.rest


@then("wire: requests on the caller's own connection are still answered")
def still_answered(context):
    names = [each.unwrap().identity_reply.member.name for each in (context.before, context.after)]
    assert names == ["1", "2"], names


@when("wire: {count:d} requests are sent at once")
def send_many(context, count):
    async def use(client):
        return await asyncio.gather(*(call(client) for _ in range(count)))

    context.replies = with_peer(context, use)


@then("wire: each caller got the reply to its own request")
def own_replies(context):
    names = [each.unwrap().identity_reply.member.name for each in context.replies]
    assert names == [str(number) for number in range(1, len(names) + 1)], names
