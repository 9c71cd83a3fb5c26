"""One process of a server that holds keys, as its own record shows it."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from indigoworks_lab.gateway_soak.key_event import KeyEvent


@dataclass(frozen=True)
class KeyServerLife:
    """Events in the order in which they were written.

    :ivar number: counts the processes under this id, from 1.
    :ivar ended_s: when it was killed or ended; a stopped process is up.
    """

    server_id: str
    number: int
    events: Sequence[KeyEvent]
    ended_s: float = math.inf

    @property
    def name(self) -> str:
        """Return id and number."""
        return f"{self.server_id}.{self.number}"
