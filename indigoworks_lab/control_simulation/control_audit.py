"""All checkers of a run, fed from outside of the code under test."""

import asyncio
from collections.abc import Mapping

from eliot import log_message

from indigoworks.ownership.key_grant import KeyGrant
from indigoworks.rowstore.store_version import StoreVersion
from indigoworks.rowstore.transaction import Transaction
from indigoworks_lab.control_simulation.event_digest import EventDigest
from indigoworks_lab.control_simulation.grant_row_checker import GrantRowChecker
from indigoworks_lab.control_simulation.lease_checker import LeaseChecker
from indigoworks_lab.control_simulation.memory_rows import MemoryRows
from indigoworks_lab.control_simulation.overlap_checker import OverlapChecker
from indigoworks_lab.control_simulation.row_checker import RowChecker
from indigoworks_lab.control_simulation.simulated_server import SimulatedServer
from indigoworks_lab.control_simulation.token_checker import TokenChecker
from indigoworks_lab.control_simulation.violation_list import ViolationList
from indigoworks_lab.control_simulation.work_checker import WorkChecker


class ControlAudit:
    """Implements `ServerListener` and `StoreWatcher`, and passes on to the checkers.

    :ivar grants: grants that servers took.
    :ivar begun: requests that servers began.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        rows: MemoryRows,
        servers: Mapping[str, SimulatedServer],
    ) -> None:
        self.violations = ViolationList(loop)
        self.digest = EventDigest(loop)
        self.grants = 0
        self.begun = 0
        self._servers = servers
        self.overlap = OverlapChecker(loop, self._up, self.violations)
        self.rows = RowChecker(rows, self.violations)
        self._grant_rows = GrantRowChecker(rows, self.violations)
        self._tokens = TokenChecker(self.violations)
        self._work = WorkChecker(loop, self._up, self.violations)
        self._lease = LeaseChecker(loop, rows, self.violations)

    # ---- servers ----

    def taking(self, server_id: str, grant: KeyGrant, is_excused: bool) -> None:
        """A server takes a grant."""
        self.grants += 1
        self.digest.add("grant", server_id, grant.first, grant.last, grant.token, is_excused)
        log_message(
            message_type="simulation:grant",
            to=server_id,
            first=grant.first,
            last=grant.last,
            token=grant.token,
            hold_s=grant.hold_s,
            is_excused=is_excused,
        )
        self._grant_rows.taking(server_id, grant)
        if not is_excused:
            self._tokens.taking(server_id, grant)
            self._work.taking(self._servers[server_id], grant)

    def beginning(self, server_id: str, key: int) -> None:
        """A server begins a request."""
        self.begun += 1
        self.digest.add("begin", server_id, key)
        self.overlap.beginning(server_id, key)

    # ---- store ----

    def answered(self, boot: str, made_s: float) -> None:
        """An answer of the store reached a process."""
        self._lease.answered(boot, made_s)

    def committing(self, boot: str, transaction: Transaction) -> None:
        """A transaction is about to be tried."""
        self._lease.note_leader()
        self.digest.add("transaction", boot, *(put.key for put in transaction.puts))
        self.rows.committing(boot, transaction)

    def committed(self) -> None:
        """A transaction was tried."""
        self._lease.note_leader()
        self._grant_rows.note_table()

    def acknowledged(self, transaction: Transaction, version: StoreVersion) -> None:
        """A process learnt that its transaction was made."""
        self.rows.acknowledged(transaction, version)

    def returned(self, copied: StoreVersion) -> None:
        """The store came back from a copy of that version."""
        self._lease.note_leader()
        self.rows.returned(copied)

    # ---- nodes ----

    def ordering(self, boot: str) -> None:
        """A process sends an order."""
        self._lease.ordering(boot)

    def _up(self) -> list[SimulatedServer]:
        return [each for each in self._servers.values() if each.is_up]
