"""Log lines on their way to standard output."""

import json
import os
from collections import deque
from typing import Any

MAX_BUFFERED_BYTES = 512 * 1024
"""Lines beyond this are dropped and counted: the process never waits for the reader of its log."""

MAX_WRITE_BYTES = 64 * 1024


class LineBuffer:
    """Collects lines and writes them without ever blocking.

    :param descriptor: file descriptor of the stream; it is set to non-blocking.
    :param process: name of the process, added to every line.
    """

    def __init__(self, descriptor: int, process: str) -> None:
        self._descriptor = descriptor
        self._process = process
        self._lines: deque[bytes] = deque()
        self._bytes = 0
        self._dropped = 0
        os.set_blocking(descriptor, False)

    def add(self, message: dict[str, Any]) -> None:
        """Take one message; serves as a destination of eliot."""
        for name in ("task_uuid", "task_level"):
            message.pop(name, None)
        message["process"] = self._process
        line = json.dumps(message, separators=(",", ":"), default=str).encode() + b"\n"
        if self._bytes + len(line) > MAX_BUFFERED_BYTES:
            self._dropped += 1
            return
        self._lines.append(line)
        self._bytes += len(line)

    def flush(self) -> None:
        """Write what the reader takes now."""
        if self._dropped and self._bytes < MAX_BUFFERED_BYTES // 2:
            dropped, self._dropped = self._dropped, 0
            self.add({"message_type": "log:dropped", "level": "WARNING", "lines": dropped})
        while self._lines:
            block = self._next_block()
            try:
                written = os.write(self._descriptor, block)
            except BlockingIOError:
                written = 0
            except OSError:
                self._lines.clear()
                self._bytes = 0
                return
            if written < len(block):
                self._put_back(block[written:])
                return

    def _next_block(self) -> bytes:
        parts: list[bytes] = []
        size = 0
        while self._lines and (not parts or size + len(self._lines[0]) <= MAX_WRITE_BYTES):
            line = self._lines.popleft()
            parts.append(line)
            size += len(line)
        self._bytes -= size
        return b"".join(parts)

    def _put_back(self, rest: bytes) -> None:
        self._lines.appendleft(rest)
        self._bytes += len(rest)
