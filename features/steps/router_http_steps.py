"""Steps on a router's HTTP server, on loopback."""

import asyncio
import json
from urllib.parse import unquote_to_bytes

from behave import given, then, when
from result import Ok
from router_fakes import (
    LOST,
    with_owner,
)
from router_http_world import HOST, LONG_S, fetch, send, start_router, until
from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from indigoworks.backend.backend_response import BackendResponse
from indigoworks.router import router as router_module


@given("a router with its HTTP server")
def start(context):
    start_router(context)


@when("a caller sends {method} {path} with {count:d} bytes")
def send_bytes(context, method, path, count):
    send(context, method, path, body=b"x" * count if count else None)


@then('the status is {status:d} and the outcome header is "{outcome}"')
def status_and_outcome(context, status, outcome):
    response = context.response
    assert response.code == status, (response.code, response.body)
    assert response.headers["Indigoworks-Outcome"] == outcome
    assert response.headers["Indigoworks-Request-Id"]


@then('the back end got {method} {path} with {count:d} bytes for the key "{key}"')
def backend_got(context, method, path, count, key):
    ((_, _, request),) = context.backends.sent
    expected_key = unquote_to_bytes(key.replace("\\x", "%"))
    got = (request.method, request.path, len(request.body), request.key)
    assert got == (method, path, count, expected_key), got


@when("a caller sends the headers of one connection and others")
def send_headers(context):
    async def answer(address, request):
        headers = (
            ("Connection", "X-Once"),
            ("X-Once", "1"),
            ("Keep-Alive", "5"),
            ("Set-Cookie", "a=1"),
            ("Set-Cookie", "b=2"),
            ("Content-Type", "text/plain"),
            ("Indigoworks-Request-Id", "of-the-back-end"),
            ("Indigoworks-Outcome", "not-run"),
        )
        return Ok(BackendResponse(201, headers, b"whole"))

    context.backends.answer = answer
    headers = {
        "Connection": "X-Hop",
        "X-Hop": "1",
        "TE": "trailers",
        "Proxy-Authorization": "secret",
        "Accept": "text/plain",
        "Indigoworks-Request-Id": "my-request",
    }
    send(context, "GET", "/v1/shop/item", headers=headers)


@then("the back end got the others only")
def others_only(context):
    ((_, _, request),) = context.backends.sent
    names = {name.lower() for name, _ in request.headers}
    assert "accept" in names
    assert not names & {"connection", "x-hop", "te", "proxy-authorization", "host"}, names


@then("the caller got the back end's other headers, each of its cookies, and its own request id")
def caller_headers(context):
    headers = context.response.headers
    assert context.response.code == 201 and context.response.body == b"whole"
    assert headers.get_list("Set-Cookie") == ["a=1", "b=2"]
    assert headers.get_list("Content-Type") == ["text/plain"]
    assert headers.get_list("Indigoworks-Request-Id") == ["my-request"]
    assert headers.get_list("Indigoworks-Outcome") == ["completed"]
    assert "X-Once" not in headers and "Keep-Alive" not in headers


@then('the body names "{kind}" and a remedy')
def body_names(context, kind):
    content = json.loads(context.response.body)
    assert content["kind"] == kind and content["remedy"]


async def raw(context, *pieces):
    """Send bytes as they are and return what comes back until the end of the stream."""
    reader, writer = await asyncio.open_connection(HOST, context.port)
    for piece in pieces:
        writer.write(piece)
        await writer.drain()
    answer = await reader.read()
    writer.close()
    return answer


@when("a caller sends {count:d} bytes in chunks without a length")
def send_chunks(context, count):
    async def produce(write):
        for _ in range(count // 100):
            await write(b"x" * 100)

    async def run():
        request = HTTPRequest(
            f"http://{HOST}:{context.port}/v1/shop/item", method="POST", body_producer=produce
        )
        client = SimpleAsyncHTTPClient(force_instance=True)
        return await client.fetch(request, raise_error=False)

    context.response = context.run_async(run())


@when("a caller announces {count:d} bytes and waits for leave to send them")
def expect_continue(context, count):
    head = (
        f"POST /v1/shop/item HTTP/1.1\r\nHost: x\r\nContent-Length: {count}\r\n"
        "Expect: 100-continue\r\n\r\n"
    )
    context.answer = context.run_async(raw(context, head.encode()))


@then("it reads 413 without having sent a body")
def reads_413(context):
    assert context.answer.startswith(b"HTTP/1.1 413 "), context.answer
    assert b"Indigoworks-Outcome: not-run" in context.answer
    assert b"100 (Continue)" not in context.answer


@when('a caller sends the header {name} with the value "{value}"')
def send_header(context, name, value):
    send(context, "GET", "/v1/shop/item", headers={name: value})
    assert context.backends.sent == []


@when("the back end's answer to a POST is lost")
def lose(context):
    context.backends.script["a"] = [LOST]
    headers = {"Indigoworks-Request-Id": "a"}
    send(context, "POST", "/v1/shop/item", body=b"order", headers=headers)


@when("nobody owns the key any more and a caller sends a GET")
def no_owner(context):
    async def move():
        context.controller.change(state=with_owner(context.controller.state, "", 0), version=2)
        await until(lambda: context.router.view.version == 2)

    context.run_async(move())
    send(context, "GET", "/v1/shop/item")


@then("Retry-After is a whole number of seconds, at least what the milliseconds say")
def retry_after(context):
    seconds = int(context.response.headers["Retry-After"])
    milliseconds = int(context.response.headers["Indigoworks-Retry-After-Ms"])
    assert milliseconds > 0 and seconds * 1000 >= milliseconds


@when("a caller hangs up while the back end works")
def hang_up(context):
    async def run():
        context.backends.service_s = LONG_S
        _, writer = await asyncio.open_connection(HOST, context.port)
        writer.write(b"GET /v1/shop/item HTTP/1.1\r\nHost: x\r\n\r\n")
        await until(lambda: context.backends.sent)
        writer.close()
        await until(lambda: context.backends.cancelled)

    context.run_async(run())


@then("the back end sees the cancellation")
def sees_cancellation(context):
    ((_, _, request),) = context.backends.sent
    assert context.backends.cancelled == [request.request_id]


@when("the HTTP server is stopped while a request is in progress and another comes in")
def stop(context):
    async def run():
        linger_s = router_module.STOP_LINGER_S
        router_module.STOP_LINGER_S = 0.05
        try:
            context.backends.service_s = 0.2
            first = asyncio.ensure_future(fetch(context, "POST", "/v1/shop/item", body=b"order"))
            await until(lambda: context.backends.sent)
            stopping = asyncio.ensure_future(context.http.stop())
            await until(lambda: context.router.is_stopping)
            other = await fetch(context, "POST", "/v1/shop/item", body=b"late")
            await stopping
            return await first, other
        finally:
            router_module.STOP_LINGER_S = linger_s

    context.first, context.other = context.run_async(run())


@then('the first was answered whole, and the other got 503, "Connection: close" and Retry-After')
def stopped(context):
    assert (context.first.code, context.first.body) == (200, b"whole order")
    headers = context.other.headers
    assert context.other.code == 503 and headers["Indigoworks-Outcome"] == "not-run"
    assert headers["Connection"] == "close" and int(headers["Retry-After"]) >= 1
    assert len(context.backends.sent) == 1


@then("nothing listens on the port any more")
def closed(context):
    try:
        context.run_async(asyncio.open_connection(HOST, context.port))
    except ConnectionRefusedError:
        return
    raise AssertionError("the port still accepts connections")


@when("the HTTP server is stopped while a caller is yet to read an answer of {count:d} bytes")
def slow_reader(context, count):
    async def answer(address, request):
        return Ok(BackendResponse(200, (), b"x" * count))

    async def run():
        router_module.STOP_LINGER_S = 0.0
        context.backends.answer = answer
        reader, writer = await asyncio.open_connection(HOST, context.port, limit=1024)
        writer.write(b"GET /v1/shop/item HTTP/1.1\r\nHost: x\r\n\r\n")
        await until(lambda: context.backends.sent)
        stopping = asyncio.ensure_future(context.http.stop())
        await context.router.stop()
        await asyncio.sleep(0.05)
        head = await reader.readuntil(b"\r\n\r\n")
        assert f"Content-Length: {count}".encode() in head
        body = await reader.read(-1)
        await stopping
        return len(body)

    linger_s = router_module.STOP_LINGER_S
    try:
        context.got = context.run_async(run())
    finally:
        router_module.STOP_LINGER_S = linger_s
    context.expected = count


@then("the caller reads the whole answer")
def whole(context):
    assert context.got == context.expected, context.got


@then("the metrics count one completed request of the shop and the view's version")
def metrics(context):
    body = context.run_async(fetch(context, "GET", "/metrics")).body.decode()
    labels = 'error="",group="default",outcome="completed",service="shop"'
    assert f"indigoworks_requests_total{{{labels}}} 1.0" in body, body
    assert "indigoworks_view_version 1.0" in body


@then("the health is good")
def health(context):
    assert context.run_async(fetch(context, "GET", "/health")).code == 200
