"""Idle connection in a pool."""

from dataclasses import dataclass

from indigoworks.backend.http_connection import HttpConnection


@dataclass(frozen=True)
class HttpIdleConnection:
    """An open connection, and the clock reading at which its last request ended."""

    connection: HttpConnection
    idle_since_s: float
