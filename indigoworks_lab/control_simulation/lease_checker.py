"""No orders of a leader after its lease lapsed."""

import asyncio

from indigoworks.ownership.control_group import CONTROL_TABLE, part_of
from indigoworks.ownership.leader_lease import LEADER_LEASE_S
from indigoworks.ownership.leader_row import LEADER_KEY, LeaderRow
from indigoworks_lab.control_simulation.memory_rows import MemoryRows
from indigoworks_lab.control_simulation.violation_list import ViolationList

CHECKER = "lease"


class LeaseChecker:
    """Knows when an answer of the store, that reached a process, was made and whom it named."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, rows: MemoryRows, violations: ViolationList
    ) -> None:
        self._loop = loop
        self._rows = rows
        self._violations = violations
        self._named: list[tuple[float, str]] = [(0.0, "")]
        self._proof_s: dict[str, float] = {}

    def note_leader(self) -> None:
        """Take note of whom the row names; called after each transaction."""
        row = self._rows.row(CONTROL_TABLE, part_of(self._rows.era), LEADER_KEY)
        boot = "" if row is None else LeaderRow.decode(row.value, row.version).boot
        if boot != self._named[-1][1]:
            self._named.append((self._loop.time(), boot))

    def answered(self, boot: str, made_s: float) -> None:
        """An answer of the store that was made at `made_s` reached a process."""
        self.note_leader()
        named = next(name for at_s, name in reversed(self._named) if at_s <= made_s)
        if named == boot:
            self._proof_s[boot] = max(made_s, self._proof_s.get(boot, 0.0))

    def ordering(self, boot: str) -> None:
        """A process sends an order to a server."""
        age_s = self._loop.time() - self._proof_s.get(boot, float("-inf"))
        if age_s > LEADER_LEASE_S:
            self._violations.add(
                CHECKER, f"{boot} sends an order; its last proof is {age_s:.2f} s old"
            )
