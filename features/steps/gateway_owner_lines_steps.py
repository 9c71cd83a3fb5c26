"""Steps on the log lines that tell why a range passed."""

import io
import json
import tempfile
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path

from behave import given, then, when
from eliot import add_destinations, remove_destination
from gateway_control_steps import name_another_leader, until
from gateway_control_world import SERVICE
from gateway_log_steps import drop_earlier_messages
from gateway_owner_lines_world import EPOCH, HOLD_S, NOT_SENT, TIMEOUT_S, OwnerLinesWorld

from indigoworks.cli.exit_code import ExitCode
from indigoworks.cli.main import main
from indigoworks.ownership.hold_bounds import MAX_ORDER_DELAY_S
from indigoworks.ownership.leader_row import LeaderRow
from indigoworks.ownership.log_throttle import LINE_PERIOD_S
from indigoworks.ownership.order_outcome import OrderOutcome, OrderResult
from indigoworks.rowstore.store_version import NO_VERSION
from indigoworks.servers.replacement_evidence import ReplacementEvidence

LONGER_THAN_LEASE_S = 7.0


@given("the gateway owner lines are kept")
def step_kept(context):
    drop_earlier_messages(context)
    context.owner_lines = []
    add_destinations(context.owner_lines.append)
    context.add_cleanup(remove_destination, context.owner_lines.append)


@given('a gateway owner lines keeper of keys that "a" holds under token {token:d}')
def step_keeper(context, token):
    step_kept(context)

    async def build():
        return OwnerLinesWorld(token)

    context.owners = context.run_async(build())


@given("the gateway owner lines keeper goes by a predecessor's bound alone, which has ended")
def step_predecessor_alone(context):
    """Break the rule that what this process granted is waited for."""
    bounds = context.owners.bounds
    bounds.start_epoch(context.owners.clock.now() - 1.0)
    bounds.until_s = lambda server_id, first, last: bounds.predecessor_until_s


@given("the gateway owner lines readings of the store's clock jump by {jump_s:d} s")
def step_jump(context, jump_s):
    now_s = context.owners.clock.now()
    context.owners.health.record_response(now_s, now_s + jump_s)


@given('"a" has left {count:d} gateway owner lines grants unanswered')
def step_unanswered(context, count):
    context.run_async(context.owners.leave_unanswered(count))


@given("the gateway owner lines leader has {what} and gives orders nevertheless")
def step_leader(context, what):
    world = context.owners

    async def end():
        world.act_nevertheless()
        if what == "lost the leadership":
            world.name_leader(LeaderRow(EPOCH + 1, "n2", "boot-9", NO_VERSION), 11)
        elif what == "resigned":
            await world.leadership.resign()
            # An answer that was under way proves the leadership again.
            world.prove()
        else:
            await world.clock.advance(LONGER_THAN_LEASE_S)

    context.run_async(end())


@given("the gateway owner lines keeper rules out nobody")
def step_nobody(context):
    context.owners.is_ruling_out = False


@when('"a" answers the release of the gateway owner lines keys')
def step_released(context):
    context.owners.orders.outcomes.pop("a", None)
    context.run_async(context.owners.pass_on())


@when('"a" is out of reach for the gateway owner lines')
def step_out_of_reach(context):
    context.owners.orders.outcomes["a"] = NOT_SENT
    context.run_async(context.owners.pass_on())


@when('"a" leaves one gateway owner lines release unanswered and answers the next')
def step_release_again(context):
    context.owners.orders.lost_releases = 1
    context.run_async(context.owners.pass_on())


@when('"a" is out of reach until its gateway owner lines hold has ended')
def step_hold_ends(context):
    context.owners.orders.outcomes["a"] = NOT_SENT
    context.run_async(context.owners.pass_on(2 * HOLD_S, is_proved=True))


@when('"a" has ended, until its late gateway owner lines grant has ended as well')
def step_late_ends(context):
    """Nobody listens at its address, and its entry goes."""
    context.owners.orders.outcomes["a"] = OrderOutcome(OrderResult.REFUSED_CONNECTION)
    context.owners.servers.remove("a")
    context.run_async(context.owners.pass_on(MAX_ORDER_DELAY_S + 2 * HOLD_S, is_proved=True))


@when('the gateway owner lines take "a" for gone by {answer}')
def step_gone(context, answer):
    by = context.replaced_by = "" if answer == "an answer without an id" else "c"
    servers = context.owners.servers
    servers.record_replaced(servers.get("a"), by, ReplacementEvidence.ORDER)
    context.run_async(context.owners.pass_on())


@when('server "c" answers the release of the gateway owner lines keys of "a"')
def step_other_answers(context):
    context.replaced_by = "c"
    context.owners.orders.outcomes["a"] = OrderOutcome(OrderResult.OTHER_SERVER, None, "c")
    context.run_async(context.owners.pass_on())


@when('"b" refuses the gateway owner lines grant for a higher token')
def step_refused(context):
    context.owners.orders.outcomes["b"] = OrderOutcome(OrderResult.FENCED)
    context.run_async(context.owners.pass_on())


# ---- what the lines tell ----


def lines_of(context, message_type):
    return [each for each in context.owner_lines if each.get("message_type") == message_type]


@then('the one gateway owner lines passing from "{former}" to "{server}" is by "{proof}"')
def step_passing(context, former, server, proof):
    (context.passing,) = lines_of(context, "range:passed")
    named = {"former": former, "server": server, "proof": proof, "service": SERVICE}
    assert named.items() <= context.passing.items(), context.passing
    (ruled_out,) = lines_of(context, "range:former_ruled_out")
    assert (ruled_out["former"], ruled_out["reason"]) == (former, proof), ruled_out


@then('it names the former token {token:d} and how long the hold of "a" would have lasted')
def step_hold_left(context, token):
    line = context.passing
    assert line["former_token"] == token < line["token"], line
    assert HOLD_S < line["own_left_s"] < HOLD_S + TIMEOUT_S, line
    assert line["predecessor_left_s"] is None, line


@then("it names {count:d} grants without an answer")
def step_grants(context, count):
    assert context.passing["unanswered"] == count, context.passing


@then("no gateway owner lines passing is told")
def step_no_passing(context):
    assert not lines_of(context, "range:passed")


@then("the gateway owner lines tell of a jump by {jump_s:d} s")
def step_jump_told(context, jump_s):
    (line,) = lines_of(context, "store:clock_jumped")
    assert abs(line["by_at_least_s"] - jump_s) < 0.1, line


@then("it names one release without an answer")
def step_one_release(context):
    assert context.passing["unanswered_releases"] == 1, context.passing
    (told,) = lines_of(context, "order:unanswered")
    assert told["kind"] == "release" and told["hold_s"] is None, told


@then("it names the epoch of this leader and a bound that has ended")
def step_whose(context):
    line = context.passing
    assert (line["bound_of"], line["bound_epoch"]) == ("this_leader", EPOCH), line
    assert line["own_left_s"] < 0 <= line["proved_ago_s"], line


@then("the gateway owners' story of key {key:d} doubts nothing")
def step_no_doubt(context, key):
    assert doubts(context, key) == set(), context.owners_story


@then('the gateway owners\' story of key {key:d} doubts only "{kind}"')
def step_doubts(context, key, kind):
    expected = set() if kind == "nothing" else {kind}
    assert doubts(context, key) == expected, context.owners_story


def doubts(context, key):
    """Return the kinds of doubts that the command prints on the lines of this process."""
    with tempfile.TemporaryDirectory() as directory:
        log = Path(directory) / "gateways.log"
        lines = [json.dumps({**each, "process": "n1"}) for each in context.owner_lines]
        log.write_text("\n".join(reversed(lines)), encoding="utf-8")
        code, context.owners_story = tell(key, log)
    assert code == ExitCode.DONE, context.owners_story
    rows = [row.split() for row in context.owners_story.splitlines()]
    return {row[1].rstrip(":") for row in rows if row[:1] == ["!!"]}


def tell(key, log):
    output = io.StringIO()
    with redirect_stdout(output), redirect_stderr(output):
        code = main(["owners-story", SERVICE, str(key), "--log", str(log)])
    return code, output.getvalue()


@then('the gateway owner lines tell of {count:d} unanswered grants to "a" until it answers again')
def step_silence(context, count):
    told = lines_of(context, "order:unanswered")
    assert {each["server"] for each in told} == {"a"} and told[0]["count"] == 1, told
    assert told[0]["hold_s"] == HOLD_S and told[0]["kind"] == "grant", told[0]
    assert len(told) <= 1 + count * TIMEOUT_S / LINE_PERIOD_S, len(told)
    assert sum(each["count"] for each in told) <= count, told
    (again,) = lines_of(context, "order:answered_again")
    assert (again["grants"], again["releases"]) == (count, 0), again
    assert again["silent_s"] >= (count - 1) * TIMEOUT_S, again


@then(
    'the gateway owner lines name the state "{state}" of the leader, and no age where it has none'
)
def step_state(context, state):
    for line in lines_of(context, "range:passed") + lines_of(context, "order:old_proof"):
        assert line["proof_state"] == state, line
        assert (line["proof_age_s"] is None) is (state == "lost"), line
    assert {each["moment"] for each in lines_of(context, "order:old_proof")} == {"sent", "ended"}


@then('the gateway owner lines tell of a refused grant in the state "{state}" without an age')
def step_fenced(context, state):
    (line,) = lines_of(context, "range:fenced")
    assert line["proof_state"] == state and line["proof_age_s"] is None, line


@then('the gateway owner lines name the sign "{sign}" once')
def step_sign(context, sign):
    (line,) = lines_of(context, "server:replaced")
    assert line["sign"] == sign and line["server"] == "a", line
    assert line["by"] == context.replaced_by, line


@then(
    "the gateway owner lines tell of one leader that waits for its predecessor of epoch {epoch:d}"
)
def step_acts(context, epoch):
    (line,) = lines_of(context, "leader:acts")
    assert (line["predecessor"], line["predecessor_epoch"]) == ("n1", epoch), line
    assert line["epoch"] > epoch and line["bound_left_s"] > 0, line
    assert line["reason"] == ("acts_no_more" if line["is_known_to_act_no_more"] else "may_act")


@then("a gateway owner lines leader that is replaced names its open orders")
def step_replaced(context):
    world = context.control

    async def replace():
        world.orders.gate.clear()
        await until(lambda: world.orders.waiting)
        await name_another_leader(world)
        await until(lambda: lines_of(context, "leader:lost"))
        world.orders.gate.set()

    context.run_async(replace())
    (line,) = lines_of(context, "leader:lost")
    assert line["orders_under_way"] >= 1 and line["orders_unanswered"] == 0, line


@then("the gateway owners' story of a missing log is refused with a remedy")
def step_missing(context):
    code, text = tell(7, Path(tempfile.gettempdir()) / "no-such-directory" / "gateways.log")
    assert code == ExitCode.MISUSE and "cannot be read" in text, text


@then("the gateway owners' story of key {key:d} says that no line is on it")
def step_unknown(context, key):
    context.owner_lines = []
    assert doubts(context, key) == set() and "No log line concerns this key" in context.owners_story
