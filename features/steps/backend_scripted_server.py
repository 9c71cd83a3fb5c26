"""A server that answers as a scenario says and keeps what it received."""

import asyncio
import re

from indigoworks.common.address import Address

LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)
REQUEST_ID = re.compile(rb"indigoworks-request-id: *(\S+)", re.IGNORECASE)

ANSWERS = {
    "whole": b"HTTP/1.1 200 OK\r\nIndigoworks-Request-Id: {id}\r\nContent-Length: 2\r\n"
    b"Connection: X-Hop\r\nX-Hop: 1\r\nKeep-Alive: 5\r\nX-End: 1\r\n\r\nok",
    "another request's id": b"HTTP/1.1 200 OK\r\nIndigoworks-Request-Id: other\r\n"
    b"Content-Length: 2\r\n\r\nok",
    "no request id": b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "a body without length": b"HTTP/1.1 200 OK\r\nIndigoworks-Request-Id: {id}\r\n\r\nok",
    "two unequal lengths": b"HTTP/1.1 200 OK\r\nIndigoworks-Request-Id: {id}\r\n"
    b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nok",
    "half the headers": b"HTTP/1.1 200 OK\r\nIndigoworks-Request-Id: {id}\r\nContent-",
    "not HTTP": b"hello\r\n\r\n",
    "nothing in time": b"",
    "nothing, and closes": b"",
}
ANSWERS["whole, and closes"] = ANSWERS["whole"]
CLOSING = frozenset(ANSWERS) - {"whole", "nothing in time"}


class ScriptedServer:
    """Request number n is answered by behaviour n; the last one goes on."""

    def __init__(self, behaviours: list[str]) -> None:
        self._behaviours = behaviours
        self.heads: list[bytes] = []
        self.connections = 0

    async def start(self) -> Address:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return Address("127.0.0.1", self._server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while await self._answer(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        length = LENGTH.search(head)
        await reader.readexactly(int(length.group(1)) if length else 0)
        behaviour = self._behaviours[min(len(self.heads), len(self._behaviours) - 1)]
        self.heads.append(head)
        identity = REQUEST_ID.search(head)
        answer = ANSWERS[behaviour].replace(b"{id}", identity.group(1) if identity else b"none")
        writer.write(answer)
        await writer.drain()
        return behaviour not in CLOSING
