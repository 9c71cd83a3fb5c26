"""Structured logs: eliot messages as JSON lines on standard output."""

from indigoworks.common.logging.log_setup import set_up_logging

__all__ = ["set_up_logging"]
