"""A back end without callers."""

import asyncio
import re

from indigoworks.common.address import Address
from indigoworks_lab.backend.stand_in_server import StandInServer
from indigoworks_lab.scale.lease_answers import LeaseAnswers
from indigoworks_lab.scale.traffic_count import TrafficCount

HEAD_END = b"\r\n\r\n"
CONTENT_LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)


class HollowServer:
    """The stand-in's lease and grants behind the smallest HTTP server that carries them."""

    def __init__(self, server: StandInServer, traffic: TrafficCount) -> None:
        self._answers = LeaseAnswers(server)
        self._traffic = traffic
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def lease_ends_s(self) -> float:
        """Return the reading of the machine's clock at which the lease lapses."""
        return self._answers.lease_ends_s

    async def start(self, address: Address) -> None:
        """Listen.

        :raises OSError: the address cannot be bound.
        """
        self._listener = await asyncio.start_server(self._serve, address.host, address.port)

    def kill(self) -> None:
        """Close everything at once, as the end of a killed process does."""
        if self._listener is not None:
            self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                await self._answer_one(reader, writer)
        except (asyncio.IncompleteReadError, OSError):
            writer.close()
        finally:
            self._writers.discard(writer)

    async def _answer_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(HEAD_END)
        length = CONTENT_LENGTH.search(head)
        body = await reader.readexactly(int(length[1])) if length else b""
        answer = self._answers.answer(head, body)
        self._traffic.exchanges += 1
        self._traffic.bytes_to_member += len(head) + len(body)
        self._traffic.bytes_from_member += len(answer)
        writer.write(answer)
        await writer.drain()
