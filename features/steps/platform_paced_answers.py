"""How the stand-in for the platform's store sends an answer when not all at once."""

import asyncio
from dataclasses import dataclass, field
from itertools import pairwise

from tornado.iostream import StreamClosedError

HALF_OF_HEADERS = b"HTTP/1.1 200 X\r\nContent-Le"


@dataclass
class PacedAnswers:
    """Sends answers piece by piece, as a slow link hands them over.

    :ivar sent_count: pieces that are sent, of `count`; after these comes nothing.
    :ivar begins_after_s: seconds before status and headers.
    :ivar closes: whether the connection is closed after the last piece that is sent.
    :ivar sent_s: the loop's time at which each piece was sent.
    """

    count: int
    pause_s: float
    sent_count: int
    begins_after_s: float = 0.0
    closes: bool = False
    half_of_headers: bool = False
    sent_s: list[float] = field(default_factory=list)
    _tasks: list[asyncio.Task] = field(default_factory=list)

    def send(self, connection, start_line, headers, body: bytes) -> None:
        """Begin to send an answer."""
        assert len(body) >= self.count, "the body is too short for so many pieces"
        work = self._send(connection, start_line, headers, body)
        self._tasks.append(asyncio.ensure_future(work))

    async def _send(self, connection, start_line, headers, body) -> None:
        await asyncio.sleep(self.begins_after_s)
        if self.half_of_headers:
            await connection.stream.write(HALF_OF_HEADERS)
            return
        ends = [len(body) * number // self.count for number in range(self.count + 1)]
        pieces = [body[first:end] for first, end in pairwise(ends)]
        try:
            await connection.write_headers(start_line, headers)
            for piece in pieces[: self.sent_count]:
                self.sent_s.append(asyncio.get_running_loop().time())
                await connection.write(piece)
                await asyncio.sleep(self.pause_s)
        except StreamClosedError:
            return
        if self.closes:
            connection.stream.close()
        elif self.sent_count == self.count:
            connection.finish()
