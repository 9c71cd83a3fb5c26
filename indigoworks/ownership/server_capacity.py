"""What a server can do."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServerCapacity:
    """Slots of a server, and its requests a second while all of them are busy."""

    server_id: str
    slots: int
    requests_per_s: float
