"""Structured log lines."""

import json
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LogLine:
    """A log line written by a gateway.

    :ivar at_s: timestamp from the clock of its process, in seconds.
    :ivar fields: all other fields.
    """

    at_s: float
    process: str
    message_type: str
    fields: Mapping[str, object]

    @classmethod
    def parse(cls, text: str) -> "LogLine | None":
        """Parse a line or return None; a log collector's text before the JSON object is skipped."""
        start = text.find("{")
        if start < 0:
            return None
        try:
            fields = json.loads(text[start:])
            return cls(
                at_s=float(fields.pop("timestamp")),
                process=str(fields.pop("process")),
                message_type=str(fields.pop("message_type")),
                fields=fields,
            )
        except (ValueError, KeyError, TypeError, AttributeError):
            return None


def read_log_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the structured lines among `texts`."""
    for text in texts:
        line = LogLine.parse(text)
        if line is not None:
            yield line
