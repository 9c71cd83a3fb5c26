"""Steps on the administration API of a whole gateway."""

import asyncio
import json

from behave import then, when
from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

PAUSE_S = 0.02
PARTS = ("health", "members", "servers", "routers", "owners")


async def send(context, method, path):
    """Return status and content of the answer."""
    address = context.gateway_process.settings.metrics_address
    client = SimpleAsyncHTTPClient(force_instance=True)
    body = None if method == "GET" else b"{}"
    request = HTTPRequest(f"http://{address}{path}", method=method, body=body)
    answer = await client.fetch(request, raise_error=False)
    client.close()
    return answer.code, json.loads(answer.body)


async def status_of(context):
    parts = {}
    for part in PARTS:
        code, parts[part] = await send(context, "GET", f"/admin/v1/{part}")
        assert code == 200, (part, code, parts[part])
    return parts


def ask_until(context, is_reached):
    async def reach():
        while not is_reached(await status_of(context)):  # noqa: ASYNC110
            await asyncio.sleep(PAUSE_S)
        return await status_of(context)

    context.gateway_status = context.run_async(reach())


@when('the gateway process\'s operator asks for status until the keys of "{service}" have an owner')
def until_owned(context, service):
    ask_until(
        context,
        lambda parts: any(each["service"] == service for each in parts["owners"]["ranges"]),
    )


@when('the gateway process\'s operator asks for status until server "{name}" is leaving')
def until_leaving(context, name):
    ask_until(context, lambda parts: (name, "leaving") in states(parts))


@then("the gateway status names as leader and only member the process itself")
def names_leader(context):
    health = context.gateway_status["health"]
    settings = context.gateway_process.settings
    assert health["role"] == "leader" and health["term"] == 1, health
    assert health["member"]["name"] == settings.node, health
    assert health["member"]["http_port"] == settings.metrics_address.port, health
    assert health["leader"] == health["member"], health
    assert context.gateway_status["members"]["voters"] == [health["member"]]


@then("the gateway status lists servers {names} as live")
def lists_servers(context, names):
    expected = [(name, "live") for name in names.split(", ")]
    assert states(context.gateway_status) == expected, context.gateway_status["servers"]


@then("the gateway status tells that the version in force is {version:d}")
def tells_version(context, version):
    assert context.gateway_status["health"]["settings_version"] == version


@when('the gateway process\'s operator asks who owns key {key:d} of "{service}"')
def asks_owner(context, key, service):
    path = f"/admin/v1/owners?service={service}&key={key}"
    code, context.gateway_owners = context.run_async(send(context, "GET", path))
    assert code == 200, context.gateway_owners


@then('the gateway\'s answer is the range {first:d} to {last:d} of "{server}", at place {place:d}')
def is_range(context, first, last, server, place):
    answer = context.gateway_owners
    (only,) = answer["ranges"]
    assert (int(only["start"], 16), int(only["end"], 16)) == (first, last), answer
    assert only["owner"] == server and only["token"] > 0, answer
    assert int(answer["place"], 16) == place, answer


@then("the gateway status lists {count:d} peers beside the process itself")
def lists_peers(context, count):
    own = context.gateway_process.settings.node
    voters = [each["name"] for each in context.gateway_status["members"]["voters"]]
    routers = [each["member"]["name"] for each in context.gateway_status["routers"]["routers"]]
    assert voters[0] == own and len(voters) == count + 1, voters
    assert sorted(routers) == sorted(voters[1:]), routers


@when('the gateway process\'s operator sends {method} "{path}"')
def sends(context, method, path):
    context.gateway_refusal = context.run_async(send(context, method, path))


@then(
    'the gateway\'s refusal has status {status:d} and kind "{kind}", '
    'and its remedy names "{remedy}"'
)
def is_refused(context, status, kind, remedy):
    code, content = context.gateway_refusal
    assert code == status and content["kind"] == kind, context.gateway_refusal
    assert remedy in content["remedy"], content


def states(parts):
    return [(each["name"], each["state"]) for each in parts["servers"]["servers"]]
