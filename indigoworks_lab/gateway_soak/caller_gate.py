"""Whether bytes of one caller pass a link."""

import asyncio
import time
from dataclasses import dataclass, field
from typing import Any


@dataclass
class CallerGate:
    """:ivar is_cut: connections are reset.

    :ivar passing: set while bytes are handed on.
    :ivar delivers: what the caller sent before it gave up is handed on after a silence.
    :ivar tasks: connections.
    :ivar silent_below: connections with a lower number have gone silent for good.
    :ivar sent_s: by the port that the target sees, when the caller had sent something.
    """

    is_cut: bool = False
    passing: asyncio.Event = field(default_factory=asyncio.Event)
    delivers: bool = True
    tasks: "set[asyncio.Task[Any]]" = field(default_factory=set)
    sent_s: dict[int, list[float]] = field(default_factory=dict)
    silent_below: int = 0
    _connections: int = 0

    def __post_init__(self) -> None:
        self.passing.set()

    def next_connection(self) -> int:
        """Return the number of a new connection."""
        self._connections += 1
        return self._connections - 1

    def silence_open(self) -> None:
        """Let all open connections go silent for good; new ones work."""
        self.silent_below = self._connections

    def reset_all(self) -> None:
        """Reset all connections."""
        for task in list(self.tasks):
            task.cancel()

    async def pass_on(self, reader: asyncio.StreamReader) -> None:
        """Wait until bytes pass."""
        if self.passing.is_set():
            return
        await self.passing.wait()
        if reader.exception() is not None and not self.delivers:
            raise ConnectionResetError

    def note_sent(self, port: int) -> None:
        """The caller has sent something now."""
        self.sent_s.setdefault(port, []).append(time.monotonic())
