"""Steps on responses whose status line HTTP does not allow."""

from behave import given, then
from gateway_endless_answer_steps import make_server
from gateway_world import make_record

from indigoworks.forwarding.forward_codec import decode_forward_reply, encode_forward_reply
from indigoworks.forwarding.forward_reply import ForwardOutcome, ForwardReply

SHORT = "a short answer"


@given('a gateway server "{server_id}" that answers with the status line "{line}"')
def server_with_status_line(context, server_id, line):
    server = make_server(context, SHORT, status_line=line)
    context.gateway.platform.servers.put(make_record(server_id, server.address))


@given('an endless {sender} that answers with the status line "{line}"')
def sender_with_status_line(context, sender, line):
    make_server(context, SHORT, status_line=line)


@then('the gateway\'s answer has the status {status:d} and the body "{body}"')
def passed_on(context, status, body):
    answer = context.endless_answer
    assert (answer.status, answer.body.decode()) == (status, body), answer


@then("a forwarded answer of status {status:d} is {what}")
def forwarded_answer(context, status, what):
    reply = ForwardReply(ForwardOutcome.ANSWERED, status, (), b"ok")
    decoded = decode_forward_reply(encode_forward_reply(reply))
    assert (decoded is None) == (what == "refused"), decoded
