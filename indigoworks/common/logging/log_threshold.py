"""The level below which this process drops messages, for code that would rather not build them.

A message of eliot costs its fields, an id of its own and a timestamp before a destination drops it.
Messages of each request ask here first.
"""

from indigoworks.common.logging.log_level import LogLevel


class LogThreshold:
    """Lowest level that is written; everything until `set_up_logging` has said otherwise."""

    def __init__(self) -> None:
        self._lowest = LogLevel.DEBUG

    def set(self, lowest: LogLevel) -> None:
        """Drop what is below `lowest` from now on."""
        self._lowest = lowest

    def passes(self, level: LogLevel) -> bool:
        """Tell whether a message of `level` is written at all."""
        return level >= self._lowest


LOG_THRESHOLD = LogThreshold()
"""That of this process, beside eliot's own list of destinations."""
