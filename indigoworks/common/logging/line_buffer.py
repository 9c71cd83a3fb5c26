"""Bounded buffer of log lines before they are written to standard output."""

import json
import os
import select
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from eliot import log_message

from indigoworks.common.logging.line_rate_limiter import LineRateLimiter, is_control
from indigoworks.common.logging.log_level import LEVEL_FIELD, LogLevel, level_of

MAX_BUFFERED_BYTES = 512 * 1024
"""Lines beyond this are dropped and counted: the process never blocks on the reader of its log."""

MAX_WRITE_BYTES = select.PIPE_BUF
"""Writes to a pipe up to this size are atomic: processes that share one do not interleave lines. A
reader that shows only the beginning of a large write shows each write whole."""

_SUCCESS_LEVELS = frozenset({LogLevel.DEBUG.name, LogLevel.INFO.name})


@dataclass(slots=True)
class _Line:
    """A buffered line; `message_type` is empty if it must not be dropped to make room."""

    data: bytes
    message_type: str


class LineBuffer:
    """Collects lines, bounds their number and bytes, and writes them without blocking.

    If the buffer is full, a line of a control type replaces lines on requests, oldest first.

    :param descriptor: file descriptor of the stream; it is set to non-blocking.
    :param process: name of the process, added to every line.
    :param rates: bounds the number of lines, and counts dropped lines.
    :ivar on_pending: called when a line is added to an empty buffer.
    """

    def __init__(self, descriptor: int, process: str, rates: LineRateLimiter) -> None:
        self._descriptor = descriptor
        self._process = process
        self._rates = rates
        self._lines: deque[_Line] = deque()
        self._bytes = 0
        self.on_pending: Callable[[], None] = _nothing
        os.set_blocking(descriptor, False)

    @property
    def held_bytes(self) -> int:
        """Return the bytes that are buffered."""
        return self._bytes

    def add(self, message: dict[str, Any]) -> None:
        """Add one message to the buffer; serves as a destination of eliot."""
        message_type = str(message.get("message_type", ""))
        if not self._rates.admit(message_type, _is_failure(message)):
            return
        for name in ("task_uuid", "task_level"):
            message.pop(name, None)
        message["process"] = self._process
        data = json.dumps(message, separators=(",", ":"), default=str).encode() + b"\n"
        is_kept = is_control(message_type)
        if is_kept:
            self._make_room(len(data))
        if self._bytes + len(data) > MAX_BUFFERED_BYTES:
            self._rates.record_dropped(message_type)
            return
        was_empty = not self._lines
        self._lines.append(_Line(data, "" if is_kept else message_type))
        self._bytes += len(data)
        if was_empty:
            self.on_pending()

    def flush(self) -> None:
        """Write what the stream accepts now; once a second, log what was dropped."""
        # With the buffer half full the reader lags: the counts are logged once it has caught up.
        if self._rates.end_second() and self._bytes < MAX_BUFFERED_BYTES // 2:
            self._log_dropped()
        self._write()

    def finish(self) -> None:
        """Log what was dropped and write what the stream accepts; the last call on this buffer."""
        self._log_dropped()
        self._write()

    def _log_dropped(self) -> None:
        dropped = self._rates.pop_unreported()
        if dropped:
            log_message(
                message_type="log:dropped",
                level="WARNING",
                lines=sum(dropped.values()),
                types=dropped,
            )

    def _write(self) -> None:
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

    def _make_room(self, size: int) -> None:
        """Drop lines on requests, the oldest first, until `size` more bytes fit."""
        if self._bytes + size <= MAX_BUFFERED_BYTES:
            return
        kept: deque[_Line] = deque()
        while self._lines:
            line = self._lines.popleft()
            if line.message_type and self._bytes + size > MAX_BUFFERED_BYTES:
                self._bytes -= len(line.data)
                self._rates.record_dropped(line.message_type)
            else:
                kept.append(line)
        self._lines = kept

    def _next_block(self) -> bytes:
        parts: list[bytes] = []
        size = 0
        while self._lines and (not parts or size + len(self._lines[0].data) <= MAX_WRITE_BYTES):
            data = self._lines.popleft().data
            parts.append(data)
            size += len(data)
        self._bytes -= size
        return b"".join(parts)

    def _put_back(self, rest: bytes) -> None:
        # The reader may have the beginning of the block, so the rest must not be dropped.
        self._lines.appendleft(_Line(rest, ""))
        self._bytes += len(rest)


def _nothing() -> None:
    """Do nothing: the default listener."""


def _is_failure(message: dict[str, Any]) -> bool:
    # The many lines on requests name their level, so the set lookup decides them cheaply.
    return message.get(LEVEL_FIELD) not in _SUCCESS_LEVELS and level_of(message) >= LogLevel.WARNING
