"""Sets up the logs of a process."""

import logging
import sys
from typing import Any, TextIO

from eliot import FileDestination, add_destinations
from eliot.stdlib import EliotHandler

from indigoworks.common.logging.access_records import ACCESS_LOGGER, demote_to_debug
from indigoworks.common.logging.level_filter import LevelFilter
from indigoworks.common.logging.log_level import LogLevel
from indigoworks.common.logging.log_threshold import LOG_THRESHOLD


def set_up_logging(level: str, process: str, stream: TextIO | None = None) -> None:
    """Write the messages of this process as JSON lines.

    Records of the standard library's loggers (tornado, asyncio) are written the same way.

    :param level: name of a LogLevel; messages below it are dropped.
    :param process: name of the process, added to every message.
    :param stream: where the lines go; standard output if None.
    """
    threshold = LogLevel[level]
    LOG_THRESHOLD.set(threshold)
    to_stream = FileDestination(file=sys.stdout if stream is None else stream)

    def write(message: dict[str, Any]) -> None:
        to_stream({**message, "process": process})

    add_destinations(LevelFilter(threshold, write))
    root = logging.getLogger()
    root.handlers = [EliotHandler()]
    root.setLevel(int(threshold))
    # Requests have messages of their own, with ids; the HTTP server's access line adds nothing.
    access = logging.getLogger(ACCESS_LOGGER)
    access.addFilter(demote_to_debug)
    # Refusals come in large numbers: unless DEBUG is written, their records are not even built.
    access.setLevel(logging.WARNING if threshold is LogLevel.DEBUG else logging.CRITICAL)
