"""One line of what a server that holds keys recorded."""

import json
from dataclasses import asdict, dataclass


@dataclass(frozen=True)
class KeyEvent:
    """Times are of CLOCK_MONOTONIC, which all processes of a machine share, in seconds.

    :ivar kind: "started", "taken" or "refused" (a grant), "delayed" (a grant that has arrived and
        is applied later), "released", "begun" or "ended" (work).
    :ivar sender: address of who sent the order; empty: not known.
    :ivar sender_port: port of the sender's connection.
    :ivar first: first key; of work, its key.
    :ivar last: last key (inside).
    :ivar token: of the order; of work, that under which its key is held.
    :ivar hold_s: time for which a grant is held from `at_s` on, on true clocks.
    :ivar request_id: of the work.
    """

    kind: str
    at_s: float
    sender: str = ""
    first: int = 0
    last: int = 0
    token: int = 0
    hold_s: float = 0.0
    request_id: str = ""
    sender_port: int = 0

    def to_line(self) -> str:
        """Return the event as one line of JSON."""
        return json.dumps(asdict(self))

    @classmethod
    def from_line(cls, line: str) -> "KeyEvent":
        """Read a line of a record."""
        return cls(**json.loads(line))
