"""A loss of a server, or of what it needs."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Loss:
    """At `at_s` a run of a server stopped serving its keys.

    :ivar kind: how it was lost, for the report.
    """

    kind: str
    server: str
    server_run: int
    at_s: float
