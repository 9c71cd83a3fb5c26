"""The level below which this process drops messages, so that callers need not build them.

An eliot message costs its fields, an id and a timestamp before a destination drops it. Code that
logs for each request checks the threshold first.
"""

from indigoworks.common.logging.log_level import LogLevel


class LogThreshold:
    """Lowest level that is written; DEBUG until `set_up_logging` sets another."""

    def __init__(self) -> None:
        self._lowest = LogLevel.DEBUG

    def set(self, lowest: LogLevel) -> None:
        """Drop messages below `lowest` from now on."""
        self._lowest = lowest

    def passes(self, level: LogLevel) -> bool:
        """Tell whether a message of `level` is written at all."""
        return level >= self._lowest


LOG_THRESHOLD = LogThreshold()
"""The threshold of this process; global, as eliot's list of destinations is."""
