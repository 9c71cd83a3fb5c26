"""Builds the parts that remember requests under which servers ended, here and in the store."""

from collections.abc import Callable, Sequence

from indigoworks.broker.stored_locks import StoredLocks
from indigoworks.common.clock import Clock
from indigoworks.exchange.peer_table import PeerTable
from indigoworks.gateway.platform_ports import PlatformPorts
from indigoworks.ownership.control_group import CONTROL_TABLE, ControlGroup
from indigoworks.quarantine.quarantine import Quarantine
from indigoworks.quarantine.quarantine_rows import QuarantineRows
from indigoworks.rowstore.row import Row


class QuarantineSubsystem:
    """Connects the quarantine with its rows and with peers.

    :param is_partitioned: returns whether part of the group is not heard.
    :ivar stored_locks: locks of suspect requests in the store.
    """

    def __init__(
        self,
        boot: str,
        ports: PlatformPorts,
        peers: PeerTable,
        is_partitioned: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self.quarantine = Quarantine(clock, ports.health.to_store_s)
        group = ControlGroup(ports.health.eras)
        self.stored_locks = StoredLocks(boot, ports.store, group, ports.health, clock)
        self._rows = QuarantineRows(
            self.quarantine,
            ports.store,
            ports.health,
            CONTROL_TABLE,
            group.transaction,
            clock,
            is_partitioned,
        )
        peers.on_heard = self.quarantine.report_all_again
        self.quarantine.on_status_change = self._rows.schedule_write
        self.quarantine.on_refusal = self._rows.handle_refusal
        self.quarantine.on_crash = self._rows.handle_crash

    async def run(self) -> None:
        """Write quarantined requests to the store until cancelled."""
        await self._rows.run()

    def apply_rows(self, rows: Sequence[Row]) -> None:
        """Apply rows of the control group."""
        self._rows.apply_rows(rows)
        self.stored_locks.apply_rows(rows)

    def close(self) -> None:
        """Cancel what is under way for stored locks."""
        self.stored_locks.close()
