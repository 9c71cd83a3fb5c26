"""JSON over HTTP, for the administration API and the lab's own interfaces."""

import json
from typing import Any

from tornado.httpclient import HTTPClientError
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from indigoworks.common.address import Address
from indigoworks_lab.client.json_answer import JsonAnswer

TIMEOUT_S = 5.0


class JsonClient:
    """Sends one request a call; a missing answer has status 0."""

    def __init__(self) -> None:
        self._client = SimpleAsyncHTTPClient(force_instance=True, max_clients=32)

    async def get(self, address: Address, path: str) -> JsonAnswer:
        """Read `path`."""
        return await self._send(address, "GET", path, None)

    async def put(self, address: Address, path: str, fields: dict[str, Any]) -> JsonAnswer:
        """Put `fields` to `path`."""
        return await self._send(address, "PUT", path, json.dumps(fields).encode())

    async def _send(
        self, address: Address, method: str, path: str, body: bytes | None
    ) -> JsonAnswer:
        try:
            response = await self._client.fetch(
                f"http://{address}{path}",
                method=method,
                body=body,
                request_timeout=TIMEOUT_S,
                raise_error=False,
            )
            return JsonAnswer(response.code, json.loads(response.body))
        except (HTTPClientError, OSError, ValueError) as error:
            return JsonAnswer(0, {"error": str(error)})
