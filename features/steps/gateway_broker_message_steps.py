"""Steps on messages between gateways and brokers, and on what servers say of their load."""

from behave import then
from gateway_broker_world import SERVICE, ZONE
from platform_folder_store_stand_in import FOLDER  # noqa: F401

# isort: split
from server_load_reader import read_server_load

from indigoworks.broker.broker_codec import decode_datagram, encode_datagram
from indigoworks.broker.broker_datagram import BrokerDatagram
from indigoworks.broker.slot_release import SlotRelease
from indigoworks.broker.slot_reply import SlotOutcome, SlotReply
from indigoworks.broker.slot_request import SlotRequest
from indigoworks.gateway.refusal import Refusal, RefusalReason
from indigoworks.servers.self_reported_load import SelfReportedLoad


@then("a slot request, a reply, a refusal and a return come back as they were sent")
def step_codec(context):
    refusal = Refusal(RefusalReason.OVERLOAD, 0.25, "s1", 4, 0.5)
    contents = (
        SlotRequest(7, SERVICE, ZONE, "g", 2.5, 1, 0.5, 1.2, True, ("s1", "s2")),
        SlotRequest(8, SERVICE, ZONE, "g", 1.0, 0, 0.5, 1.2, False),
        SlotReply(7, SlotOutcome.GRANTED, "s3"),
        SlotReply(7, SlotOutcome.QUEUED),
        SlotReply(7, SlotOutcome.REFUSED, refusal=refusal),
        SlotRelease(7, True, SelfReportedLoad(3, 1, 3, 2.5)),
        SlotRelease(7, is_unreached=True),
    )
    for content in contents:
        datagram = BrokerDatagram("n1", "b1", content)
        assert decode_datagram(encode_datagram(datagram)) == datagram, content
    for number in range(200):
        decode_datagram(context.random.randbytes(number))


@then(
    'a server\'s word "{text}" says {running:d} running, {waiting:d} waiting, {slots:d} slots '
    "and pace {pace:g}"
)
def step_word(context, text, running, waiting, slots, pace):
    assert read_server_load(text) == SelfReportedLoad(running, waiting, slots, pace)


@then('a server\'s word "{text}" says nothing')
def step_no_word(context, text):
    assert read_server_load(text) is None
