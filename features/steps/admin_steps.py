"""Steps on the administration API."""

import json
from urllib.parse import quote

from admin_fakes import make_plane
from behave import given, then, when
from prometheus_client import CollectorRegistry, Counter
from tornado.httpserver import HTTPServer
from tornado.simple_httpclient import SimpleAsyncHTTPClient
from tornado.testing import bind_unused_port
from tornado.web import Application

from indigoworks.admin import AdminCall
from indigoworks.admin.admin_operations import all_operations
from indigoworks.admin.health_report import HealthReport
from indigoworks.admin.http_handlers import admin_http_handlers
from indigoworks.admin.settings_difference import SettingsDifference, settings_difference
from indigoworks.common.ring.key_hash import key_hash
from indigoworks.settings import parse_tree

TREE = {"services": {"shop": {"weight": 3.0}}}


@given("an administration over a control plane")
def administration(context):
    context.plane = make_plane()
    context.operations = all_operations(context.plane)


def ask(context, method, path, body=b""):
    call = AdminCall(method, f"/admin/v1{path}", body)
    context.answer = context.run_async(context.operations.handle(call))


@when('the administration gets "{path}"')
def gets(context, path):
    ask(context, "GET", path)


@when('the administration gets the owner of the key "{key}"')
def gets_owner(context, key):
    ask(context, "GET", f"/owners?service=shop&key={quote(key, safe='')}")


@when('the administration is asked "{method}" "{path}" with ""')
@when('the administration is asked "{method}" "{path}" with "{body}"')
def asked(context, method, path, body=""):
    ask(context, method, path, body.encode())


@given("a router of the control plane that still serves under version {version:d}")
def slow_router(context, version):
    context.plane.version_of_slow_router = version


@given('a control plane whose next change fails as "{failure}"')
def next_change_fails(context, failure):
    context.plane.failure = failure


@when("the administration is asked to change version {version:d} to a weight of {weight:d}")
def asked_to_change(context, version, weight):
    tree = {"services": {"shop": {"weight": float(weight)}}}
    body = {"change_id": f"weight-{weight}", "expected_version": version, "tree": tree}
    ask(context, "PUT", "/settings", json.dumps(body).encode())


def field_of(content, path):
    """Return the value at a dotted path; resolved values are found by their names."""
    if path.startswith("values."):
        name = path.removeprefix("values.")
        (found,) = [each for each in content["values"] if each["name"] == name]
        return [found["value"], found["level"]]
    for part in path.split("."):
        content = content[int(part)] if part.isdecimal() else content[part]
    return content


@then('the administration answers {status:d} with "{field}" as {value}')
def answers_with(context, status, field, value):
    assert context.answer.status == status, context.answer
    found = field_of(json.loads(context.answer.body), field)
    assert found == json.loads(value), found


@then('the administration answers with the only range that holds the place of "{key}"')
def answers_range(context, key):
    place = key_hash(key.encode())
    content = json.loads(context.answer.body)
    assert content["place"] == f"0x{place:016x}", content
    (found,) = content["ranges"]
    assert int(found["start"], 16) <= place <= int(found["end"], 16), (place, found)


@then('the administration answers {status:d} of kind "{kind}" naming "{text}"')
def answers_error(context, status, kind, text):
    content = json.loads(context.answer.body)
    assert (context.answer.status, content["kind"]) == (status, kind), content
    assert content["message"] and content["remedy"], content
    assert text in f"{content['message']} {content['remedy']}", content


@then("the administration asks to come back after {seconds:g} s")
def asks_to_come_back(context, seconds):
    assert context.answer.retry_after_s == seconds, context.answer
    assert json.loads(context.answer.body)["retry_after_s"] == seconds


@then("the control plane holds the tree {tree}")
def holds_tree(context, tree):
    assert context.plane.control_state.settings_tree == tree.encode()


@then('the control plane drains "{server}"')
def drains(context, server):
    assert context.plane.drained == [server], context.plane.drained


@then("the difference of settings lists added, removed and changed fields")
def lists_difference(context):
    old = parse_tree(b'{"services":{"a":{"weight":1.0,"retry_limit":1},"b":{}}}').unwrap()
    new = parse_tree(b'{"services":{"a":{"weight":2.0,"hop":"direct"}}}').unwrap()
    assert settings_difference(old, new) == (
        SettingsDifference("services.a.hop", None, "direct"),
        SettingsDifference("services.a.retry_limit", 1, None),
        SettingsDifference("services.a.weight", 1.0, 2.0),
        SettingsDifference("services.b", {"groups": {}, "keys": {}}, None),
    )
    assert settings_difference(old, old) == ()


@given("its HTTP server")
def http_server(context):
    context.health = HealthReport(True)
    registry = CollectorRegistry()
    Counter("admin_test", "A counter of the test.", registry=registry).inc(5)

    async def start():
        rules = admin_http_handlers(context.operations, registry, lambda: context.health)
        context.server = HTTPServer(Application(rules))
        listener, context.port = bind_unused_port()
        context.server.add_socket(listener)

    async def stop():
        context.server.stop()
        await context.server.close_all_connections()

    context.run_async(start())
    context.add_cleanup(lambda: context.run_async(stop()))


@given('its health is "{reason}"')
def health_is(context, reason):
    serving = reason == "serving"
    context.health = HealthReport(serving, "" if serving else reason)


def fetch(context, path, **options):
    async def send():
        client = SimpleAsyncHTTPClient(force_instance=True)
        url = f"http://127.0.0.1:{context.port}{path}"
        return await client.fetch(url, raise_error=False, **options)

    context.response = context.run_async(send())


@when('the HTTP administration is asked to change with If-Match "{version}"')
def change_over_http(context, version):
    body = json.dumps({"change_id": "over-http", "tree": TREE})
    headers = {"If-Match": f'"{version}"'}
    fetch(context, "/admin/v1/settings", method="PUT", headers=headers, body=body)


@when('the HTTP administration gets "{path}"')
def get_over_http(context, path):
    fetch(context, path)


@then("the HTTP administration answers {status:d}")
def http_answers(context, status):
    assert context.response.code == status, (context.response.code, context.response.body)


@then('the HTTP administration has the header "{name}" as "{value}"')
def http_header(context, name, value):
    assert context.response.headers[name] == value, context.response.headers


@then('the HTTP administration body contains "{text}"')
def http_body(context, text):
    assert text in context.response.body.decode(), context.response.body
