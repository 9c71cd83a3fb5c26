"""One structured line of a log."""

import json
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line as a gateway wrote it.

    :ivar at_s: time of day of its process, in seconds.
    :ivar fields: all further fields.
    """

    at_s: float
    process: str
    message_type: str
    fields: Mapping[str, object]

    @classmethod
    def parse(cls, text: str) -> "LogLine | None":
        """Read a line; what a collector put before the JSON object is passed over."""
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
    """Return the structured lines among `texts`."""
    for text in texts:
        line = LogLine.parse(text)
        if line is not None:
            yield line
