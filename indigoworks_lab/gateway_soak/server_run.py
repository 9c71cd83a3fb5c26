"""One execution at a server of a soak."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ServerRun:
    """A server began to work on a request at `started_s`, in seconds of the event loop."""

    request_id: str
    server_id: str
    started_s: float
