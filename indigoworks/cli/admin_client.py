"""Client of the administration API of a node: a router, controller or gateway."""

import asyncio
import json
from http import HTTPStatus
from typing import Any, TypeVar
from urllib.parse import urlencode

from pydantic import ValidationError
from result import Err, Ok, Result
from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from indigoworks.admin.bodies.body import Body
from indigoworks.cli.errors import CommandError, Misuse, NodeAnswerLost, NodeUnreachable, Refused

CONNECT_TIMEOUT_S = 3.0
REQUEST_TIMEOUT_S = 15.0
BASE_PATH = "/admin/v1"

BodyT = TypeVar("BodyT", bound=Body)


class AdminClient:
    """Sends requests to one node, one at a time, without retries."""

    def __init__(self, node: str) -> None:
        self._node = node

    def get(
        self, path: str, body_type: type[BodyT], query: dict[str, str | bytes] | None = None
    ) -> Result[BodyT, CommandError]:
        """Send GET for `path` (below /admin/v1); empty query parameters are left out."""
        given = {name: value for name, value in (query or {}).items() if value}
        query_text = f"?{urlencode(given)}" if given else ""
        return self._request("GET", path + query_text, None, body_type)

    def put(self, path: str, body: Body, body_type: type[BodyT]) -> Result[BodyT, CommandError]:
        """Send PUT for `path` (below /admin/v1)."""
        return self._request("PUT", path, body.model_dump_json().encode("utf-8"), body_type)

    def pause(self, duration_s: float) -> None:
        """Wait before the next request."""
        asyncio.run(asyncio.sleep(duration_s))

    def _request(
        self, method: str, path: str, body: bytes | None, body_type: type[BodyT]
    ) -> Result[BodyT, CommandError]:
        fetched = asyncio.run(self._fetch(method, path, body))
        if isinstance(fetched, Err):
            return fetched
        response = fetched.unwrap()
        if response.code != HTTPStatus.OK:
            return Err(self._error_from(response))
        try:
            return Ok(body_type.model_validate_json(response.body))
        except ValidationError:
            return Err(self._not_a_node())

    async def _fetch(
        self, method: str, path: str, body: bytes | None
    ) -> Result[HTTPResponse, CommandError]:
        request = HTTPRequest(
            f"{self._node}{BASE_PATH}{path}",
            method=method,
            body=body,
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=REQUEST_TIMEOUT_S,
            follow_redirects=False,
        )
        client = SimpleAsyncHTTPClient(force_instance=True)
        try:
            return Ok(await client.fetch(request, raise_error=False))
        except Exception as error:  # tornado passes on any error of its streams and resolver
            return Err(self._transport_error(method, error))
        finally:
            client.close()

    def _transport_error(self, method: str, error: Exception) -> CommandError:
        was_sent = not isinstance(error, ConnectionRefusedError) and "connecting" not in str(error)
        if method != "GET" and was_sent:
            return NodeAnswerLost(
                f"{self._node} did not respond: the change may have taken effect.",
                "Check its progress with `indigoworks settings progress CHANGE_ID`.",
            )
        return NodeUnreachable(
            f"{self._node} cannot be reached: {error}.",
            "Check that a router, controller or gateway serves HTTP there, or name another --node.",
        )

    def _error_from(self, response: HTTPResponse) -> CommandError:
        try:
            content = json.loads(response.body)
            message, remedy, kind = content["message"], content["remedy"], content["kind"]
        except (ValueError, KeyError, TypeError):
            return self._not_a_node()
        if response.code == HTTPStatus.BAD_REQUEST:
            return Misuse(message, remedy)
        if response.code == HTTPStatus.GATEWAY_TIMEOUT:
            return NodeAnswerLost(message, remedy, content.get("retry_after_s", 0.0))
        detail = _difference_text(content)
        return Refused(message + detail, remedy, content.get("retry_after_s", 0.0), reason=kind)

    def _not_a_node(self) -> CommandError:
        return NodeUnreachable(
            f"{self._node} does not respond as an indigoworks node.",
            "Give the HTTP address of a router or controller, or a gateway's port for metrics.",
        )


def _difference_text(content: dict[str, Any]) -> str:
    lines = [
        f"\n  {each['path']}: {json.dumps(each['old'])} -> {json.dumps(each['new'])}"
        for each in content.get("difference", [])
    ]
    return f" Your tree would change the tree in force:{''.join(lines)}\n" if lines else ""
