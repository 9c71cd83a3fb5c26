"""One connection of a soak's caller, on a bare socket."""

import asyncio
import contextlib
import errno
import socket
from dataclasses import dataclass

from indigoworks.common.address import Address

CHUNK_BYTES = 64 * 1024
HEAD_END = b"\r\n\r\n"
CONNECT_TIMEOUT_S = 1.0


@dataclass(frozen=True)
class RawAnswer:
    """A whole answer; `keeps`: the gateway takes another request on this connection."""

    status: int
    keeps: bool


@dataclass(frozen=True)
class EndedEarly:
    """The connection ended without a whole answer.

    :ivar was_read: the gateway's kernel gave no sign that sent bytes were left unread. A socket
        that is closed with unread bytes, or that gets bytes after its close, answers with a reset.
    """

    was_read: bool
    text: str


class CallerConnection:
    """Sends one request at a time; says what became of it."""

    def __init__(self, own: socket.socket) -> None:
        self._socket = own
        self._received = b""

    @classmethod
    async def open(cls, address: Address) -> "CallerConnection | None":
        """Connect; None: nothing takes the connection."""
        own = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        own.setblocking(False)
        own.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.sock_connect(own, (address.host, address.port))
        except (OSError, TimeoutError):
            own.close()
            return None
        return cls(own)

    def is_ended(self) -> bool:
        """Tell whether the gateway has closed the connection while it rested."""
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        # An end, or bytes that nobody asked for.
        return True

    async def send(self, request: bytes) -> bool:
        """Send all bytes of a request; False: the connection ended before."""
        try:
            await asyncio.get_running_loop().sock_sendall(self._socket, request)
        except OSError:
            return False
        return True

    async def receive(self) -> RawAnswer | EndedEarly:
        """Read one answer."""
        head = b""
        while not head:
            before, found, rest = self._received.partition(HEAD_END)
            if found:
                head, self._received = before, rest
            elif (ended := await self._more()) is not None:
                return ended
        status, length, keeps = _read_head(head)
        if length is None:
            # Its end is that of the connection.
            while await self._more() is None:
                pass
            return RawAnswer(status, False)
        while len(self._received) < length:
            if (ended := await self._more()) is not None:
                return ended
        self._received = self._received[length:]
        return RawAnswer(status, keeps)

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()

    async def _more(self) -> EndedEarly | None:
        try:
            part = await asyncio.get_running_loop().sock_recv(self._socket, CHUNK_BYTES)
        except OSError as error:
            return EndedEarly(False, errno.errorcode.get(error.errno or 0, "error"))
        self._received += part
        if part:
            return None
        with contextlib.suppress(OSError):
            code = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            return EndedEarly(code == 0, f"end, {errno.errorcode.get(code, 'no error')}")
        return EndedEarly(False, "end")


def _read_head(head: bytes) -> tuple[int, int | None, bool]:
    """Return status, length of the body (None: none is named), and whether more may be sent."""
    first, *lines = head.decode("latin-1").split("\r\n")
    fields = {name.lower(): value for name, _, value in (each.partition(": ") for each in lines)}
    length = fields.get("content-length")
    keeps = fields.get("connection", "").lower() != "close"
    return int(first.split(" ")[1]), None if length is None else int(length), keeps
