"""A sender, or its link to a server, that goes on after it stood still."""

from dataclasses import dataclass


@dataclass(frozen=True)
class HealedPath:
    """:ivar server_id: whose link to the sender healed; empty: the sender itself was thawed."""

    sender: str
    at_s: float
    server_id: str = ""
