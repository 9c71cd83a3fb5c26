"""The leader's task that renews the lease and sends the grants of one back end."""

import asyncio
from collections.abc import Sequence

from eliot import log_message
from result import Result

from indigoworks.backend.backend_status import BackendStatus
from indigoworks.backend.errors import BackendError
from indigoworks.backend.granted_range import GrantedRange
from indigoworks.backend.lease_renewal import LeaseRenewal
from indigoworks.common.address import Address
from indigoworks.controller.control_state import ReplicatedControlState
from indigoworks.controller.controller_ports import ControllerPorts
from indigoworks.controller.leadership import Leadership
from indigoworks.controller.lease_timing import (
    FAILED_RENEWALS_BEFORE_LOSS,
    RENEWAL_INTERVAL_S,
    RENEWAL_TIMEOUT_S,
)
from indigoworks.controller.server_lease import ServerLease
from indigoworks.wire.control_pb2 import SERVER_STATE_LEAVING, RangeRecord, Server

ReleasedRange = tuple[int, int]
"""Start and token of a released range."""


class ServerLeaseTask:
    """Renews the lease of one server incarnation while this controller leads.

    :ivar released: start and token of each range that the server reported as released.
    :ivar is_draining: the server asked to be drained.
    """

    def __init__(
        self,
        server: Server,
        state: ReplicatedControlState,
        leadership: Leadership,
        ports: ControllerPorts,
        changed: asyncio.Event,
    ) -> None:
        """Create the task.

        :param changed: set when a response may require a change of ownership.
        """
        self.server = server
        self.released: frozenset[ReleasedRange] = frozenset()
        self.is_draining = False
        self._state = state
        self._leadership = leadership
        self._ports = ports
        self._changed = changed
        self._address = Address(server.host, server.port)
        self._lease = ServerLease(leadership.earlier_leases_lapse_at_s)
        self._failures = 0
        self._is_lost = False
        self._wake = asyncio.Event()
        self._owned: Sequence[RangeRecord] | None = None
        self._wanted: tuple[GrantedRange, ...] = ()
        self._sent_ranges: tuple[GrantedRange, ...] | None = None
        self._sent_version = 0
        self._acknowledged_version = 0

    async def run(self, delay_s: float) -> None:
        """Renew until cancelled; the first renewal is sent after `delay_s` seconds."""
        await self._ports.clock.sleep(delay_s)
        while True:
            self._wake.clear()
            if self._leadership.may_grant():
                await self._renew_once()
            await self._wait_for_interval_or_wake()

    def wake_if_grants_changed(self) -> None:
        """Renew at once if the grants have changed."""
        if self._sent_ranges != self._wanted_ranges():
            self._wake.set()

    def mark_lost_if_expired(self) -> bool:
        """Mark the server as lost if it does not respond and its lease has lapsed; return if it is.

        A lost server is never renewed again: the command that reassigns its ranges takes time to
        commit, and a renewal that arrived meanwhile would leave two owners.
        """
        is_silent = self._failures >= FAILED_RENEWALS_BEFORE_LOSS
        if is_silent and self._lease.has_lapsed(self._ports.clock.now()):
            self._is_lost = True
        return self._is_lost

    @property
    def is_responding(self) -> bool:
        """Return whether the latest call was answered."""
        return self._lease.has_reading and self._failures == 0 and not self._is_lost

    async def _wait_for_interval_or_wake(self) -> None:
        # Racing two tasks instead of asyncio.timeout would make each renewal cost a tenth more.
        try:
            async with asyncio.timeout(RENEWAL_INTERVAL_S):
                await self._wake.wait()
        except TimeoutError:
            return

    async def _renew_once(self) -> None:
        if self._is_lost:
            return
        if self._lease.has_reading and not self._must_lapse():
            renewal = self._next_renewal()
            response = await self._ports.backends.renew(self._address, renewal, RENEWAL_TIMEOUT_S)
        else:
            response = await self._ports.backends.read_status(self._address, RENEWAL_TIMEOUT_S)
            if response.is_ok() and not self._must_lapse():
                self._wake.set()
        self._apply_response(response)

    def _must_lapse(self) -> bool:
        """Return whether a leaving server's lease must lapse because no command can be committed.

        Without commits its ranges cannot be handed over, and a renewed server would go on
        accepting requests.
        """
        server = self._state.server(self.server.name) or self.server
        is_leaving = self.is_draining or server.state == SERVER_STATE_LEAVING
        return is_leaving and not self._leadership.can_commit()

    def _next_renewal(self) -> LeaseRenewal:
        wanted = self._wanted_ranges()
        is_unchanged = wanted == self._sent_ranges
        is_acknowledged = self._acknowledged_version == self._sent_version
        if not is_unchanged:
            # Earlier leaders sent only indexes that they had applied, and this leader has since
            # applied its own no-op entry: its first version is newer than all of theirs.
            self._sent_version = self._state.applied_index
            self._sent_ranges = wanted
        may_omit = is_unchanged and is_acknowledged
        return LeaseRenewal(
            incarnation=self.server.incarnation,
            generation=self._leadership.generation,
            grants_version=self._sent_version,
            valid_until_s=self._lease.extend(),
            ranges=None if may_omit else wanted,
        )

    def _wanted_ranges(self) -> tuple[GrantedRange, ...]:
        owned = self._state.ranges_of_all_incarnations(self.server.name)
        # The state returns the same list object until one of its ranges changes.
        if owned is not self._owned:
            self._owned = owned
            self._wanted = tuple(
                self._to_granted_range(record) for record in self._current_records()
            )
        return self._wanted

    def _current_records(self) -> Sequence[RangeRecord]:
        generation = self._leadership.generation
        owned = self._state.ranges_of(self.server)
        # A range of an earlier generation may have been granted to another server by log entries
        # that were lost with that generation. It is sent only after it is granted again.
        return [record for record in owned if record.generation == generation]

    def _to_granted_range(self, record: RangeRecord) -> GrantedRange:
        return GrantedRange(record.start, record.end, record.token, bool(record.next_owner))

    def _apply_response(self, response: Result[BackendStatus, BackendError]) -> None:
        if response.is_err():
            self._record_failure(response.unwrap_err())
            return
        status = response.unwrap()
        if status.incarnation != self.server.incarnation:
            self._failures += 1
            self._changed.set()
            return
        if self._failures:
            # The end in the answered renewal comes from a clock reading before the failures: the
            # lease would lapse before the next interval.
            self._wake.set()
        self._failures = 0
        self._lease.record_reading(status.clock_s, self._ports.clock.now())
        self._update_grants(status)

    def _record_failure(self, error: BackendError) -> None:
        self._failures += 1
        if self._failures == 1:
            log_message(
                message_type="lease:renewal_failed",
                server=self.server.name,
                incarnation=self.server.incarnation,
                term=self._leadership.term,
                kind=error.kind,
                message=error.message,
            )
        # The server's grants are unknown after a failure; the next renewal that arrives must carry
        # the whole list.
        self._acknowledged_version = 0
        self._changed.set()

    def _update_grants(self, status: BackendStatus) -> None:
        if status.generation == self._leadership.generation:
            self._acknowledged_version = status.grants_version
        released = frozenset((granted.start, granted.token) for granted in status.released)
        if released != self.released or status.is_draining != self.is_draining:
            self._changed.set()
        self.released = released
        self.is_draining = status.is_draining
