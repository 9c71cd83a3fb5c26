"""Steps on large answers of the platform's store, against a stand-in on real sockets."""

import asyncio
import json

from behave import given, then, when
from gateway_world import until
from platform_folder_store_steps import TABLE, follow
from platform_paced_answers import PacedAnswers
from store_versions import at

from indigoworks.backend.errors import BackendAnswerLost
from indigoworks.backend.http_message import HttpMessage
from indigoworks.backend.http_sender import HttpSender
from indigoworks.backend.transfer_limits import TransferLimits
from indigoworks.common.clock import LoopClock
from indigoworks.rowstore.table_part import TablePart
from indigoworks.rowstore.transaction import Transaction

ROW_BYTES = 8000
ANSWER_TIMEOUT_S = 20.0
SOME_PIECES = 3


@given("the platform folder store holds {count:d} large rows")
def holds_large(context, count):
    for number in range(count):
        value = context.random.randbytes(ROW_BYTES)
        context.platform_stand_in.put(TABLE, "p", f"k/{number:03}", value)


@given("the platform folder store sends answers in {count:d} pieces, {pause_s:g} s apart")
def in_pieces(context, count, pause_s):
    context.platform_stand_in.paced = PacedAnswers(count, pause_s, count)


@given("the platform folder store sends {sent:d} of {count:d} pieces of its answers, then {end}")
def cut_short(context, sent, count, end):
    context.platform_stand_in.paced = PacedAnswers(count, 0.02, sent, closes=end == "closes")


@given("the platform folder store sends half the headers of its answers")
def half_headers(context):
    context.platform_stand_in.paced = PacedAnswers(1, 0.0, 0, half_of_headers=True)


@given(
    "the platform folder store begins answers after {begin_s:g} s and sends {count:d} pieces, "
    "{pause_s:g} s apart"
)
def begins_late(context, begin_s, count, pause_s):
    context.platform_stand_in.paced = PacedAnswers(count, pause_s, count, begin_s)


@then("the platform folder got the {count:d} large rows from the feed")
def got_from_feed(context, count):
    got = context.platform_result.unwrap()
    stand_in = context.platform_stand_in
    expected = {key: held for (_, _, key), held in stand_in.rows.items()}
    assert {each.key: (each.value, each.version.counter) for each in got.rows} == expected
    assert len(got.rows) == count and got.version == at(stand_in.version)


def next_call(context):
    stand_in = context.platform_stand_in
    stand_in.paced = None
    # A whole reading would take a new connection in any case.
    follow(context, 0)
    assert len(context.platform_result.unwrap().rows) == len(stand_in.rows)
    return stand_in.streams[-2:]


@then("the platform folder's next call goes over the same connection")
def same_connection(context):
    earlier, later = next_call(context)
    assert earlier is later


@then("the platform folder's next call goes over another connection")
def another_connection(context):
    earlier, later = next_call(context)
    assert earlier is not later
    context.run_async(until(earlier.closed))


@then("the platform folder's trouble stands before the last pieces were sent")
def trouble_before(context):
    trouble_s = context.platform_health.last_trouble_s
    sent_s = context.platform_stand_in.paced.sent_s
    assert trouble_s is not None and trouble_s < sent_s[-3], (trouble_s, sent_s)


@when('the platform folder reads part "{part}", and a transaction is refused after some pieces')
def read_and_refusal(context, part):
    stand_in = context.platform_stand_in
    paced = stand_in.paced

    async def run():
        reading = asyncio.ensure_future(context.platform_store.read(TABLE, TablePart(part)))
        await until(lambda: len(paced.sent_s) > SOME_PIECES)
        stand_in.paced = None
        stand_in.troubles = ["503"]
        refused = await context.platform_store.commit(Transaction(0, part, (), ()))
        assert refused.is_err() and not reading.done()
        context.platform_refusal_s = context.platform_health.last_trouble_s
        context.platform_result = await reading

    context.run_async(run())


@then("the platform folder's last trouble is that of the transaction")
def last_is_refusal(context):
    last_s = context.platform_health.last_trouble_s
    assert last_s == context.platform_refusal_s, (last_s, context.platform_refusal_s)


def message():
    return HttpMessage("GET", f"/rows-get?table={TABLE}&part=p&limit=500")


def ask(context, timeout_s, *limits):
    asked = context.rows_sender.send(context.platform_store._address, message, timeout_s, *limits)
    context.rows_result = context.run_async(asked)


def use_one_connection(context):
    context.rows_sender = HttpSender(LoopClock(), 1)


@when(
    "rows are asked for over one connection, with {silence_s:g} s for silence and {whole_s:g} s "
    "for the whole"
)
def ask_with_limits(context, silence_s, whole_s):
    use_one_connection(context)
    ask(context, ANSWER_TIMEOUT_S, TransferLimits(silence_s, whole_s))


@when("rows are asked for over one connection, with {timeout_s:g} s for everything")
def ask_with_timeout(context, timeout_s):
    use_one_connection(context)
    ask(context, timeout_s)


@when("rows are asked for over one connection, and no longer after some pieces")
def ask_and_cancel(context):
    use_one_connection(context)

    async def run():
        asked = asyncio.ensure_future(
            context.rows_sender.send(context.platform_store._address, message, ANSWER_TIMEOUT_S)
        )
        await until(lambda: len(context.platform_stand_in.paced.sent_s) > SOME_PIECES)
        asked.cancel()
        await asyncio.wait({asked})
        assert asked.cancelled()

    context.run_async(run())


@then("the question for rows has lost its answer after some pieces")
def question_lost(context):
    assert isinstance(context.rows_result.unwrap_err(), BackendAnswerLost)
    some_pieces(context)


@then("the platform folder store had sent some pieces by then")
def some_pieces(context):
    sent = len(context.platform_stand_in.paced.sent_s)
    assert SOME_PIECES < sent < context.platform_stand_in.paced.count, sent


@then("the question for rows is answered whole")
def question_answered(context):
    answer = context.rows_result.unwrap()
    assert answer.status == 200
    assert len(json.loads(answer.body)["rows"]) == len(context.platform_stand_in.rows)


@then("the next question for rows is answered over another connection")
def next_question(context):
    stand_in = context.platform_stand_in
    stand_in.paced = None
    ask(context, ANSWER_TIMEOUT_S)
    assert context.rows_result.unwrap().status == 200
    earlier, later = stand_in.streams
    assert earlier is not later
    context.run_async(until(earlier.closed))
