"""A server on real sockets that answers without end, in a way of the scenario's choice.

It sends from threads, as fast as the loopback takes it, so that it never waits for the loop that
reads.
"""

import re
import socket
import threading
import time

from indigoworks.common.address import Address
from indigoworks_lab.crash_simulation.simulated_names import NAMES

BLOCK_BYTES = 64 * 1024
SEND_S = 10.0
"""Longest time of one answer."""

SEND_LIMIT_BYTES = 256 * 1024 * 1024

_ID = re.compile(rb"(?im)^(?:%s|Forward-Id): *(\S+)" % NAMES.request_id.encode())
_LENGTH = re.compile(rb"(?im)^Content-Length: *(\d+)")


def _repeated(part: bytes) -> bytes:
    return part * (BLOCK_BYTES // len(part))


CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
CHUNK = b"10000\r\n" + b"x" * BLOCK_BYTES + b"\r\n"
WAYS = {
    "10000 header lines": (_repeated(b"A: b\r\n")[:60000], b""),
    "interim answers": (None, _repeated(b"HTTP/1.1 103 Hints\r\n\r\n")),
    "header lines": (b"", _repeated(b"A: b\r\n")),
    "one line": (b"A: ", _repeated(b"b")),
    "a chunk extension": (CHUNKED + b"1;a=", _repeated(b"b")),
    "chunks": (CHUNKED, CHUNK),
    "tiny chunks": (CHUNKED, _repeated(b"1\r\nx\r\n")),
    "a body of 10^15 bytes": (b"Content-Length: 1000000000000000\r\n\r\n", _repeated(b"x")),
    "a body until the close": (b"\r\n", _repeated(b"x")),
    "bytes after its answer": (b"Content-Length: 2\r\n\r\nok", _repeated(b"x")),
    "a body of 64 MiB": (b"Content-Length: 67108864\r\n\r\n", _repeated(b"x")),
    "a body of 40 MiB": (b"Content-Length: 41943040\r\n\r\n", _repeated(b"x")),
    "24 MiB in chunks": (CHUNKED, CHUNK),
    "a short answer": (b"", b""),
    "1000 header lines": (_repeated(b"A: b\r\n")[: 6 * 990], b""),
}
"""Bytes after the lines that each answer begins with (None: no line precedes them), and the block
that is repeated."""

WHOLE_BYTES = {"a body of 64 MiB": 64 * 2**20, "a body of 40 MiB": 40 * 2**20}
"""Bytes of answers that end."""


class EndlessServer:
    """:ivar requests: received so far.
    :ivar ended: connections with a request that ended, by either side.
    :ivar sent: bytes sent over all connections.
    :param delay_s: between the head's lines, with `ok`, and what follows its answer.
    """

    def __init__(self, way: str, delay_s=0.0, pause_s=0.0, status_line="HTTP/1.1 200 OK") -> None:
        self._status_line = status_line.encode()
        self._first, self._block = WAYS[way]
        self._whole = WHOLE_BYTES.get(way)
        self._blocks_in_chunks = 24 * 16 if way == "24 MiB in chunks" else None
        self._delay_s = delay_s
        self._pause_s = pause_s
        self.requests = 0
        self.ended = 0
        self.sent = 0
        self._sockets = []
        self._asked = set()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = Address("127.0.0.1", self._listener.getsockname()[1])
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self) -> None:
        self._listener.close()
        for each in self._sockets:
            each.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self._sockets.append(connection)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection) -> None:
        try:
            while self._answer(connection):
                pass
        except OSError:
            pass
        finally:
            # A connection without a request tests whether anybody listens.
            self.ended += connection in self._asked
            connection.close()

    def _answer(self, connection) -> bool:
        received = b""
        while b"\r\n\r\n" not in received:
            part = connection.recv(BLOCK_BYTES)
            if not part:
                return False
            received += part
        head, _, body = received.partition(b"\r\n\r\n")
        length = _LENGTH.search(head)
        left = int(length[1]) - len(body) if length else 0
        while left > 0:
            left -= len(connection.recv(BLOCK_BYTES))
        self.requests += 1
        self._asked.add(connection)
        if self._first is not None:
            asked = _ID.search(head)
            lines = self._status_line + b"\r\n"
            if asked:
                name = b"Forward-Id" if b"Forward-Id" in head else NAMES.request_id.encode()
                lines += name + b": " + asked[1] + b"\r\n"
            self._send(connection, lines + self._first)
        time.sleep(self._delay_s)
        if not self._block:
            self._send(connection, b"Content-Length: 2\r\n\r\nok")
            return True
        return self._send_blocks(connection)

    def _send_blocks(self, connection) -> bool:
        until_s = time.monotonic() + SEND_S
        blocks = sent = 0
        while time.monotonic() < until_s and sent < SEND_LIMIT_BYTES:
            if self._whole is not None and sent == self._whole:
                return True
            if blocks == self._blocks_in_chunks:
                self._send(connection, b"0\r\n\r\n")
                return True
            self._send(connection, self._block)
            sent += len(self._block)
            blocks += 1
            time.sleep(self._pause_s)
        return False

    def _send(self, connection, data) -> None:
        connection.sendall(data)
        self.sent += len(data)
