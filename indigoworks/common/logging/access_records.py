"""Filter for the HTTP server's access log records."""

import logging

ACCESS_LOGGER = "tornado.access"
"""Logger of the HTTP server's line for each answered request."""


def demote_to_debug(record: logging.LogRecord) -> bool:
    """Lower a record to DEBUG and keep it; a filter for the standard library's loggers.

    The HTTP server logs every response with a status from 500 as an error, also refusals with 503,
    which are ordinary and come in large numbers. Our own faults have messages of their own.
    """
    record.levelno = logging.DEBUG
    record.levelname = logging.getLevelName(logging.DEBUG)
    return True
