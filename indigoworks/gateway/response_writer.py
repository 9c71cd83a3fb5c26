"""Writes responses to callers."""

import asyncio

from eliot import log_message
from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, ResponseStartLine

from indigoworks.common.bounded_http_connection import LARGE_BODY_BYTES
from indigoworks.common.byte_budget import PROCESS_BUDGET
from indigoworks.gateway.client_response import ClientResponse

STALLED_READER_S = 1.0
"""Time after which a caller that takes no byte of a large response is given up, if others wait."""


async def write_response(
    connection: HTTP1Connection,
    start_line: ResponseStartLine,
    headers: HTTPHeaders,
    response: ClientResponse,
) -> None:
    """Write a response, and wait until the kernel has all of it.

    A large body is written after its head, since the library would copy it, and is counted in the
    budget until it is written.

    :raises StreamClosedError: the connection ended before.
    """
    body = response.body
    if len(body) < LARGE_BODY_BYTES:
        written = connection.write_headers(start_line, headers, body or None)
        connection.finish()
        await written
        return
    share = response.share or PROCESS_BUDGET.hold(len(body))
    try:
        connection.write_headers(start_line, headers)
        written = connection.write(body)
        connection.finish()
        await _wait_for_reader(connection, written)
    finally:
        share.release()


async def _wait_for_reader(connection: HTTP1Connection, written: "asyncio.Future[None]") -> None:
    """Wait until a large response is written; give up on a caller that holds up others.

    The caller's connection is closed if it has taken no byte for `STALLED_READER_S` while responses
    of servers wait for room.
    """
    stream = connection.stream
    while not written.done():
        before = stream._total_write_done_index
        await asyncio.wait({written}, timeout=STALLED_READER_S)
        is_stalled = stream._total_write_done_index == before
        if not written.done() and is_stalled and PROCESS_BUDGET.waiting:
            log_message(
                message_type="request:reader_stalled",
                level="WARNING",
                caller=getattr(connection.context, "remote_ip", ""),
                unread_bytes=stream._total_write_index - before,
            )
            stream.close()
    await written
