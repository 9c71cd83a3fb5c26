"""One end of a simulated TCP connection."""

import asyncio
from collections import deque
from typing import Any


class VirtualTransport(asyncio.Transport):
    """Delivers what is written to the other end after the delay of the way, in order.

    Nothing is lost and nothing reordered; the window of the network is without bound.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        protocol: asyncio.Protocol,
        delay_s: float,
        peer_name: tuple[str, int],
    ) -> None:
        super().__init__({"peername": peer_name})
        self._loop = loop
        self._protocol = protocol
        self._delay_s = delay_s
        self._other: VirtualTransport | None = None
        self._under_way: deque[bytes | None] = deque()
        self._is_closing = False
        self._is_reported = False

    def connect_to(self, other: "VirtualTransport") -> None:
        """Make `other` the other end."""
        self._other = other

    def write(self, data: Any) -> None:
        """Send bytes."""
        if not self._is_closing:
            self._send(bytes(data))

    def close(self) -> None:
        """Close after what was written; the other end learns of it."""
        if self._is_closing:
            return
        self._is_closing = True
        self._send(None)
        self._loop.call_soon(self._report_end)

    def abort(self) -> None:
        """Close."""
        self.close()

    def is_closing(self) -> bool:
        """Tell whether it was closed by either end."""
        return self._is_closing

    def get_protocol(self) -> asyncio.BaseProtocol:
        """Return the protocol that gets the bytes."""
        return self._protocol

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Replace the protocol."""
        assert isinstance(protocol, asyncio.Protocol)
        self._protocol = protocol

    def get_write_buffer_size(self) -> int:
        """Return 0: the network takes everything at once."""
        return 0

    def pause_reading(self) -> None:
        """Go on reading: the reader's buffer is without bound."""

    def resume_reading(self) -> None:
        """Go on reading."""

    def can_write_eof(self) -> bool:
        """Tell that a connection is closed as a whole only."""
        return False

    def _send(self, data: bytes | None) -> None:
        # Timers of the same moment run in any order; the queue keeps the order of the bytes.
        self._under_way.append(data)
        self._loop.call_later(self._delay_s, self._deliver)

    def _deliver(self) -> None:
        data = self._under_way.popleft()
        other = self._other
        if other is None or other._is_closing:
            return
        if data is not None:
            other._protocol.data_received(data)
            return
        other._is_closing = True
        other._report_end()

    def _report_end(self) -> None:
        if not self._is_reported:
            self._is_reported = True
            self._protocol.connection_lost(None)
