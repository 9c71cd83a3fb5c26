"""Steps on the platform's adapters, against the stand-in in the same process."""

import asyncio
import json
from random import Random

from behave import given, then, when
from tornado.httpserver import HTTPServer
from tornado.simple_httpclient import SimpleAsyncHTTPClient
from tornado.testing import bind_unused_port

from indigoworks.platform.http_machine_list import HttpMachineList
from indigoworks.platform.http_object_store import HttpObjectStore
from indigoworks.platform.http_requests import PlatformHttpRequests
from indigoworks.platform.http_table_store import HttpTableStore
from indigoworks.platform.machine_record import MachineRecord
from indigoworks.platform.row_write import RowWrite
from indigoworks_lab.platform.machine_registry import MachineRegistry
from indigoworks_lab.platform.platform_application import platform_application
from indigoworks_lab.platform.platform_faults import PlatformFaults
from indigoworks_lab.platform.platform_state import PlatformState

ADAPTER_TIMEOUT_S = 0.2
DELAY_S = 0.6
POLL_INTERVAL_S = 0.01
APPEARS_WITHIN_POLLS = 1000


def use_adapters(context, port, timeout_s=5.0):
    requests = PlatformHttpRequests(f"http://127.0.0.1:{port}", timeout_s)
    context.tables = HttpTableStore(requests)
    context.objects = HttpObjectStore(requests)
    context.machines = HttpMachineList(requests)


def set_faults(context, **faults):
    async def apply():
        context.state.set_faults(PlatformFaults(**faults), asyncio.get_running_loop().time())

    context.run_async(apply())


@given("a platform stand-in")
def start_stand_in(context):

    async def start():
        context.state = PlatformState(Random(1), asyncio.get_running_loop().time())
        context.server = HTTPServer(platform_application(context.state))
        listener, context.platform_port = bind_unused_port()
        context.server.add_socket(listener)
        use_adapters(context, context.platform_port)

    context.run_async(start())
    context.add_cleanup(lambda: context.run_async(stop_stand_in(context)))


async def stop_stand_in(context):
    context.server.stop()
    await context.server.close_all_connections()


@given("the platform loses every answer")
def lose_answers(context):
    set_faults(context, lose_answers_ratio=1.0)


@given("the platform is down")
def platform_down(context):
    set_faults(context, down=True)


@when("the platform has no faults")
def no_faults(context):
    set_faults(context)


@given("the platform delays requests beyond the adapter's timeout")
def delay_requests(context):
    set_faults(context, delay_s=DELAY_S)

    async def use():
        use_adapters(context, context.platform_port, ADAPTER_TIMEOUT_S)

    context.run_async(use())


@given("the platform admits {count:d} table request per second")
def limit_requests(context, count):
    set_faults(context, table_requests_per_s=count)


@given("the list of machines has no lag")
def no_lag(context):
    set_faults(context, machine_list_lag_s=0.0)


@given("the platform has stopped")
def stop_platform(context):
    context.run_async(stop_stand_in(context))


@given("a peer in the platform's place that answers {answer}")
def other_peer(context, answer):
    body = {
        "a body cut short": b'{"key": "row"',
        "text that is no JSON": b"<html></html>",
        "the row of other key": b'{"key": "other", "value": "", "version": 1}',
    }[answer]
    length = len(body) + (50 if answer == "a body cut short" else 0)

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length + body)
        await writer.drain()
        writer.close()

    async def start():
        context.peer = await asyncio.start_server(serve, "127.0.0.1", 0)
        use_adapters(context, context.peer.sockets[0].getsockname()[1])

    context.run_async(start())


@given('the table adapter wrote "{value}" to "{key}" expecting version {version:d}')
def wrote(context, value, key, version):
    write(context, value, key, version)
    assert context.written.is_ok(), context.written


@when('the table adapter writes "{value}" to "{key}" expecting version {version:d}')
def write(context, value, key, version):
    writes = [RowWrite(key, value.encode(), version)]
    context.written = context.run_async(context.tables.transact(writes))


@when('the table adapter writes both "{first}" and "{second}" expecting version {version:d}')
def write_both(context, first, second, version):
    writes = [RowWrite(key, b"new", version) for key in (first, second)]
    context.written = context.run_async(context.tables.transact(writes))


@then("the table adapter's write is done")
def write_done(context):
    assert context.written.is_ok(), context.written


@then('the table adapter\'s write fails as "{kind}"')
def write_fails(context, kind):
    assert context.written.is_err(), "the write succeeded"
    context.error = context.written.unwrap_err()
    assert context.error.kind == kind, context.error


@then("the platform error says when to come back")
def says_when(context):
    assert 0.0 < context.error.retry_after_s <= 1.0, context.error


@then('the table adapter reads "{value}" at version {version:d} from "{key}"')
def reads(context, value, version, key):
    row = context.run_async(context.tables.read(key)).unwrap()
    assert (row.key, row.value, row.version) == (key, value.encode(), version), row


@then('the table adapter finds no row "{key}"')
def no_row(context, key):
    found = context.run_async(context.tables.read(key))
    assert found.unwrap() is None, found


@then('the table adapter\'s read of "{key}" fails as "{kind}"')
def read_fails(context, key, kind):
    outcome = context.run_async(context.tables.read(key))
    assert outcome.is_err() and outcome.unwrap_err().kind == kind, outcome


@then('the row "{key}" appears later at the platform')
def appears_later(context, key):
    assert context.state.tables.read(key) is None, "the write took effect before the timeout"

    async def wait():
        for _ in range(APPEARS_WITHIN_POLLS):
            if context.state.tables.read(key) is not None:
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        raise AssertionError("the write never took effect")

    context.run_async(wait())


@when('the object adapter stores {count:d} bytes as "{name}"')
def store_object(context, count, name):
    context.content = Random(7).randbytes(count)
    context.run_async(context.objects.put(name, context.content)).unwrap()


@then('the object adapter reads the same bytes from "{name}"')
def read_object(context, name):
    assert context.run_async(context.objects.get(name)).unwrap() == context.content


@then('the object adapter finds no object "{name}"')
def no_object(context, name):
    assert context.run_async(context.objects.get(name)).unwrap() is None


@then('storing an object fails as "{kind}"')
def store_fails(context, kind):
    outcome = context.run_async(context.objects.put("object", b"content"))
    assert outcome.is_err() and outcome.unwrap_err().kind == kind, outcome


def server_record(name, is_leaving):
    return MachineRecord(name, "server", "catalogue", "zone-a", "127.0.0.1", 9000, is_leaving)


@given('the platform listed server "{name}" and marked it leaving {seconds:g} seconds later')
def marked_leaving(context, name, seconds):
    context.registry = MachineRegistry()
    context.registry.put(server_record(name, False), 0.0)
    context.registry.put(server_record(name, True), seconds)


@then('the list with a lag of {lag:g} second shows "{name}" {seconds:g} seconds after as {mark}')
def listed_as(context, lag, name, seconds, mark):
    expected = {"unknown": [], "staying": [(name, False)], "leaving": [(name, True)]}[mark]
    records = context.registry.listed(seconds, lag)
    assert [(record.name, record.is_leaving) for record in records] == expected, records


async def lab_request(context, path, method, body=None):
    client = SimpleAsyncHTTPClient(force_instance=True)
    url = f"http://127.0.0.1:{context.platform_port}{path}"
    return await client.fetch(url, method=method, body=body, raise_error=False)


@when('the lab enters server "{name}" as leaving')
def enter_server(context, name):
    record = server_record(name, True)
    body = json.dumps(record.__dict__)
    answer = context.run_async(lab_request(context, f"/lab/machines/{name}", "PUT", body))
    assert answer.code == 200, answer


@when('the lab removes "{name}"')
def remove_server(context, name):
    answer = context.run_async(lab_request(context, f"/lab/machines/{name}", "DELETE"))
    assert answer.code == 200, answer


@then('the machine adapter lists "{name}" as leaving')
def lists_leaving(context, name):
    records = context.run_async(context.machines.machines()).unwrap()
    assert records == [server_record(name, True)], records


@then("the machine adapter lists nothing")
def lists_nothing(context):
    assert context.run_async(context.machines.machines()).unwrap() == []


@when('the lab sets the platform fault "{name}" to {value:d}')
def set_fault(context, name, value):
    body = json.dumps({name: value})
    context.answer = context.run_async(lab_request(context, "/lab/faults", "POST", body))


@then("the platform stand-in answers {status:d}")
def answers_status(context, status):
    assert context.answer.code == status, context.answer
