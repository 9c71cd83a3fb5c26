"""Steps on the table of refused, lost and late requests."""

import tempfile
from pathlib import Path

from behave import given, then, when
from gateway_story_steps import line

from indigoworks.cli.losses_command import report_losses

SHOP = {"service": "shop", "servers": ["s-1"], "elapsed_s": 0.4, "waited_s": 0.0, "status": 200}
LATE = {**SHOP, "level": "WARNING"}

SOUND = line(100.0, "gw-1", "request:answered", **SHOP, level="INFO")
LINES = (
    SOUND,
    line(100.1, "gw-1", "request:refused", **SHOP, reason="overload"),
    line(100.2, "gw-2", "request:lost", **SHOP, detail="broken"),
    line(100.3, "gw-1", "request:cancelled", **SHOP),
    line(101.9, "gw-1", "request:answered", **{**LATE, "status": 500}),
    line(102.1, "gw-1", "request:answered", **{**LATE, "servers": ["s-1", "s-2"]}),
    line(102.2, "gw-1", "request:answered", **{**LATE, "waited_s": 0.3}),
    line(102.3, "gw-2", "request:answered", **LATE),
    line(102.4, "gw-2", "request:repeat", **SHOP),
    line(102.5, "gw-2", "log:dropped", lines=9, types={"request:answered": 9}),
    "not a line of a log {",
)


def write_log(context, lines):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    path = Path(directory.name) / "gateways.log"
    path.write_text("\n".join(lines), encoding="utf-8")
    return str(path)


def rows_of(context):
    return [each.rsplit(None, 1) for each in context.losses.splitlines()]


@given("gateway losses log lines with a loss of each cause and a sound answer")
def step_log(context):
    context.losses_log = write_log(context, LINES)


@when("the gateway losses are told in windows of {window_s:d} s")
def step_tell(context, window_s):
    context.losses = report_losses(context.losses_log, str(window_s)).unwrap()


@then('the gateway losses count {count:d} request of "{service}" as each of')
def step_causes(context, count, service):
    told = [row for row in rows_of(context) if row and row[0].startswith(service)]
    wanted = {(f"{service:<24} {row['cause']}", str(count)) for row in context.table}
    assert {(name.rstrip(), number) for name, number in told} == wanted, told


@then("the gateway losses count {first:d} requests from second 0 and {second:d} from second 2")
def step_windows(context, first, second):
    words = [each.split() for each in context.losses.splitlines()]
    counts = {each[0]: each[1] for each in words if each and each[0] in ("0.0", "2.0")}
    assert counts == {"0.0": str(first), "2.0": str(second)}, counts


@then('the gateway losses tell that {count:d} lines of "{message_type}" are not counted')
def step_dropped(context, count, message_type):
    assert context.losses.rstrip().endswith(f"not counted: {message_type} {count}")


@then("the gateway losses of a log with a sound answer only say that no line tells of any")
def step_none(context):
    told = report_losses(write_log(context, [SOUND]), None).unwrap()
    assert told == "No log line records a request that was refused, lost or late.\n", told


@then("the gateway losses of a missing log are refused with a remedy")
def step_missing(context):
    error = report_losses("no/such/file", None).unwrap_err()
    assert "standard output" in str(error), error


@then("gateway losses in windows of {window_s:d} s are refused with a remedy")
def step_no_window(context, window_s):
    error = report_losses(write_log(context, [SOUND]), str(window_s)).unwrap_err()
    assert "--window-s" in str(error), error
