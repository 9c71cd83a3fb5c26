"""Records of answered HTTP requests."""

import logging

ACCESS_LOGGER = "tornado.access"
"""Logger of the HTTP server's line for each answered request."""


def demote_to_debug(record: logging.LogRecord) -> bool:
    """Lower a record to DEBUG, and keep it; a filter of the standard library's loggers.

    The HTTP server calls every answer from 500 on an error, also a refusal with 503, which is an
    ordinary outcome and comes in floods. Faults of our own have messages of their own.
    """
    record.levelno = logging.DEBUG
    record.levelname = logging.getLevelName(logging.DEBUG)
    return True
