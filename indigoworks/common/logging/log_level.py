"""Levels of log messages."""

from collections.abc import Mapping
from enum import IntEnum

LEVEL_FIELD = "level"
"""Field of a message that names its level; messages without it are INFO."""

STANDARD_LIBRARY_LEVEL_FIELD = "log_level"
TRACEBACK_MESSAGE_TYPE = "eliot:traceback"


class LogLevel(IntEnum):
    """Levels, from the most to the least verbose."""

    DEBUG = 10
    INFO = 20
    WARNING = 30
    ERROR = 40


def level_of(message: Mapping[str, object]) -> LogLevel:
    """Return the level of an eliot message or of a forwarded standard library record."""
    if message.get("message_type") == TRACEBACK_MESSAGE_TYPE:
        return LogLevel.ERROR
    name = message.get(LEVEL_FIELD) or message.get(STANDARD_LIBRARY_LEVEL_FIELD) or "INFO"
    name = "ERROR" if name == "CRITICAL" else str(name)
    return LogLevel.__members__.get(name, LogLevel.INFO)
