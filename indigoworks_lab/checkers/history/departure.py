"""A server that was asked to leave."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Departure:
    """At `asked_s` a run of a server was told, or was ordered, to be emptied."""

    server: str
    server_run: int
    asked_s: float
