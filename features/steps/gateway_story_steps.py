"""Steps on the story of a request."""

import json
import tempfile
from pathlib import Path

from behave import given, then, when

from indigoworks.cli.story_command import report_story


def line(at_s, process, message_type, **fields):
    return json.dumps(
        {"timestamp": at_s, "process": process, "message_type": message_type, **fields}
    )


LINES = (
    "  12.1 gw-1 "
    + line(
        101.0,
        "gw-1",
        "request:refused",
        request_id="r-1",
        service="shop",
        key=70,
        servers=["s-1"],
        reason="no_owner",
    ),
    line(100.5, "gw-2", "range:granted", service="shop", first=64, last=80, server="s-2"),
    line(100.6, "gw-2", "range:granted", service="shop", first=0, last=63, server="s-3"),
    line(100.4, "gw-2", "server:vanished", server="s-1", service="shop"),
    line(100.4, "gw-2", "server:vanished", server="s-4", service="shop"),
    line(100.2, "gw-1", "leader:seen", epoch=4, node="gw-2"),
    line(100.7, "gw-1", "feed:behind", what="group"),
    line(100.75, "gw-1", "relay:failed", relay="gw-2", reason="stale"),
    line(100.9, "gw-1", "log:dropped", lines=3, types={"request:answered": 3}),
    line(100.3, "gw-1", "request:answered", request_id="r-2", service="shop", key=70),
    line(
        100.8, "gw-1", "request:refused", request_id="r-3", service="shop", servers=[], server="s-4"
    ),
    line(80.0, "gw-1", "leader:seen", epoch=3, node="gw-1"),
    "not a line of a log {",
)


@given("gateway story log lines of two gateways in any order")
def step_log(context):
    context.story_directory = tempfile.TemporaryDirectory()
    context.add_cleanup(context.story_directory.cleanup)
    context.story_log = Path(context.story_directory.name) / "gateways.log"
    context.story_log.write_text("\n".join(LINES) + "\n", encoding="utf-8")


@when('the gateway story of request "{request_id}" is told')
def step_tell(context, request_id):
    context.story = report_story(request_id, str(context.story_log)).unwrap()


@then("the gateway story holds the request's lines, its server, its key's range and its leader")
def step_holds(context):
    told = [row.split()[3] + " " + row.split()[2] for row in context.story.splitlines()]
    assert told == [
        "leader:seen gw-1",
        "server:vanished gw-2",
        "range:granted gw-2",
        "feed:behind gw-1",
        "relay:failed gw-1",
        "log:dropped gw-1",
        "request:refused gw-1",
    ], context.story


@then("the gateway story leaves out other requests, servers and ranges")
def step_leaves_out(context):
    assert not any(name in context.story for name in ("r-2", "r-3", "s-3", "s-4", "epoch=3"))


@then('the gateway story holds "{message_type}" of server "{server_id}"')
def step_holds_server(context, message_type, server_id):
    rows = [row for row in context.story.splitlines() if f" {message_type} " in row]
    assert any(f"server={server_id}" in row for row in rows), context.story


@then('the gateway story of request "{request_id}" says that no line names it')
def step_unknown(context, request_id):
    assert "No line names" in report_story(request_id, str(context.story_log)).unwrap()


@then("the gateway story of a missing log is refused with a remedy")
def step_missing(context):
    error = report_story("r-1", str(context.story_log) + ".gone").unwrap_err()
    assert error.remedy and "cannot be read" in error.message, error
