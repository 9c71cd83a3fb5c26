"""HTTP adapter of the object store."""

from http import HTTPStatus
from urllib.parse import quote

from result import Err, Ok, Result

from indigoworks.platform.errors import PlatformError
from indigoworks.platform.http_requests import (
    PlatformHttpRequests,
    unreadable_response,
    without_effect,
)
from indigoworks.platform.object_store import ObjectStore

OBJECTS_PATH = "/objects/"


class HttpObjectStore(ObjectStore):
    """Stores and reads whole objects over HTTP. Each call is one request with a timeout."""

    def __init__(self, requests: PlatformHttpRequests) -> None:
        self._requests = requests

    async def put(self, name: str, content: bytes) -> Result[None, PlatformError]:
        """Store `content` under `name`, replacing any earlier content."""
        sent = await self._requests.send("PUT", _path(name), content)
        if isinstance(sent, Err):
            return sent
        if sent.ok_value.status != HTTPStatus.OK:
            return Err(unreadable_response(f"object {name}"))
        return Ok(None)

    async def get(self, name: str) -> Result[bytes | None, PlatformError]:
        """Return the content under `name`, or None where there is none."""
        sent = await self._requests.send("GET", _path(name))
        if isinstance(sent, Err):
            return Err(without_effect(sent.err_value))
        response = sent.ok_value
        if response.status == HTTPStatus.NOT_FOUND:
            return Ok(None)
        if response.status != HTTPStatus.OK:
            return Err(unreadable_response(f"object {name}"))
        return Ok(response.body)


def _path(name: str) -> str:
    return OBJECTS_PATH + quote(name, safe="")
