"""Steps on the datagrams of witnesses."""

from behave import then
from gateway_witness_world import process
from hypothesis import given as for_all
from hypothesis import strategies

from indigoworks.exchange.open_grants import OpenGrants, OpenServer
from indigoworks.exchange.witness_codec import (
    decode_witness_datagram,
    encode_witness_datagram,
    is_witness_datagram,
)
from indigoworks.exchange.witness_datagram import (
    Acknowledgement,
    FenceReply,
    FenceRequest,
    WitnessDatagram,
)


@then("gateway witnesses: for all datagrams times come out no shorter than they went in")
def step_codec(context):
    times = strategies.floats(0.0, 100.0)

    @for_all(times, times, times, strategies.booleans())
    def check(left_s, server_left_s, hold_s, is_silent):
        server = OpenServer("a", server_left_s, is_silent)
        grants = OpenGrants(3, 7, left_s, hold_s, (server,))
        for content in (grants, FenceReply(3, grants)):
            read = decoded(content)
            read = read.grants if isinstance(read, FenceReply) else read
            assert read.left_s >= left_s and read.hold_s >= hold_s
            assert read.servers[0].left_s >= server_left_s
            assert (read.epoch, read.number, read.servers[0].is_silent) == (3, 7, is_silent)

    check()
    for content in (Acknowledgement(3, 7), FenceRequest(3), FenceReply(3, None)):
        assert decoded(content) == content
    assert decode_witness_datagram(b"\0\xff") is None


def decoded(content):
    data = encode_witness_datagram(WitnessDatagram(process("n2"), "boot-9", content))
    assert is_witness_datagram(data)
    read = decode_witness_datagram(data)
    assert (read.sender, read.target_boot) == (process("n2"), "boot-9")
    return read.content
