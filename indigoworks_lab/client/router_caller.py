"""A caller of routers."""

from itertools import count
from urllib.parse import quote

from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from indigoworks.common.address import Address
from indigoworks.router import caller_headers
from indigoworks_lab.client.call_answer import CallAnswer

TIMEOUT_S = 5.0
MAX_CALLS_IN_PROGRESS = 100


class RouterCaller:
    """Sends requests to routers; every request gets an id of its own and is sent once."""

    def __init__(self) -> None:
        self._numbers = count(1)
        self._client = SimpleAsyncHTTPClient(force_instance=True, max_clients=MAX_CALLS_IN_PROGRESS)

    async def call(
        self,
        router: Address,
        method: str,
        service: str,
        key: str,
        body: bytes | None = None,
        group: str = "default",
    ) -> CallAnswer:
        """Send one request and wait for its whole answer."""
        request_id = f"call-{next(self._numbers)}"
        request = HTTPRequest(
            f"http://{router}/v1/{service}/{quote(key, safe='')}",
            method=method,
            body=body,
            headers={caller_headers.REQUEST_ID: request_id, caller_headers.GROUP: group},
            request_timeout=TIMEOUT_S,
            connect_timeout=TIMEOUT_S,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except ConnectionRefusedError:
            return CallAnswer(0, "refused", request_id, request_id, b"")
        except (HTTPClientError, OSError) as error:
            return CallAnswer(0, "lost", request_id, request_id, str(error).encode())
        return CallAnswer(
            response.code,
            response.headers.get(caller_headers.OUTCOME, ""),
            request_id,
            response.headers.get(caller_headers.REQUEST_ID, ""),
            response.body,
        )
