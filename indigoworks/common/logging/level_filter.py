"""A destination of log messages that drops those below a level."""

from collections.abc import Callable
from typing import Any

from indigoworks.common.logging.log_level import LogLevel, level_of

Destination = Callable[[dict[str, Any]], None]


class LevelFilter:
    """Forwards messages of at least `threshold` to a destination."""

    def __init__(self, threshold: LogLevel, destination: Destination) -> None:
        self._threshold = threshold
        self._destination = destination

    def __call__(self, message: dict[str, Any]) -> None:
        """Forward `message` or drop it."""
        if level_of(message) >= self._threshold:
            self._destination(message)
