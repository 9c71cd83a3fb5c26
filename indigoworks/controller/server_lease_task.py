"""The leader's task for one run of one back end: renew its lease, set its grants."""

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
    """Keeps one run of one server under its lease while this controller leads.

    :ivar released: start and token of each range that the server reported as released.
    :ivar is_draining: the server asked to be emptied.
    """

    def __init__(
        self,
        server: Server,
        state: ReplicatedControlState,
        leadership: Leadership,
        ports: ControllerPorts,
        changed: asyncio.Event,
    ) -> None:
        """Prepare the task.

        :param changed: set when the server's answer calls for a look at the ownership.
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
        """Renew until cancelled, for the first time after `delay_s` seconds."""
        await self._ports.clock.sleep(delay_s)
        while True:
            self._wake.clear()
            if self._leadership.may_grant():
                await self._renew_once()
            await self._wait_for_turn()

    def wake_if_grants_changed(self) -> None:
        """Renew now if the grants have changed."""
        if self._sent_ranges != self._wanted_ranges():
            self._wake.set()

    def mark_lost_if_expired(self) -> bool:
        """Tell whether the server is lost: it does not answer and its lease has surely lapsed.

        From then on it is never renewed again. Its ranges are given away by a command that takes
        time to commit; a renewal that got through meanwhile would leave two owners.
        """
        is_silent = self._failures >= FAILED_RENEWALS_BEFORE_LOSS
        if is_silent and self._lease.has_lapsed(self._ports.clock.now()):
            self._is_lost = True
        return self._is_lost

    @property
    def is_answering(self) -> bool:
        """Tell whether the newest call was answered."""
        return self._lease.has_reading and self._failures == 0 and not self._is_lost

    async def _wait_for_turn(self) -> None:
        # A timeout costs a tenth of a renewal less than two tasks of which one wins.
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
            answer = await self._ports.backends.renew(self._address, renewal, RENEWAL_TIMEOUT_S)
        else:
            answer = await self._ports.backends.read_status(self._address, RENEWAL_TIMEOUT_S)
            if answer.is_ok() and not self._must_lapse():
                self._wake.set()
        self._take(answer)

    def _must_lapse(self) -> bool:
        """Tell whether the server is to get no new work and its ranges cannot be taken from it.

        Without the log nothing is handed over, and a renewed server would go on taking requests.
        """
        server = self._state.server(self.server.name) or self.server
        is_leaving = self.is_draining or server.state == SERVER_STATE_LEAVING
        return is_leaving and not self._leadership.can_commit()

    def _next_renewal(self) -> LeaseRenewal:
        wanted = self._wanted_ranges()
        is_unchanged = wanted == self._sent_ranges
        is_acknowledged = self._acknowledged_version == self._sent_version
        if not is_unchanged:
            # Every earlier leader sent only indexes that it had applied, and this leader has
            # applied its own no-op after all of those: its first version is newer than theirs.
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
        owned = self._state.ranges_of_all_runs(self.server.name)
        # The state keeps the list until one of its ranges changes.
        if owned is not self._owned:
            self._owned = owned
            self._wanted = tuple(self._granted(record) for record in self._current_records())
        return self._wanted

    def _current_records(self) -> Sequence[RangeRecord]:
        generation = self._leadership.generation
        owned = self._state.ranges_of(self.server)
        # A record of an earlier generation may have been given to another server by log entries
        # that were lost with that generation. It is granted anew, under a new token, or not.
        return [record for record in owned if record.generation == generation]

    def _granted(self, record: RangeRecord) -> GrantedRange:
        return GrantedRange(record.start, record.end, record.token, bool(record.next_owner))

    def _take(self, answer: Result[BackendStatus, BackendError]) -> None:
        if answer.is_err():
            self._record_failure(answer.unwrap_err())
            return
        status = answer.unwrap()
        if status.incarnation != self.server.incarnation:
            self._failures += 1
            self._changed.set()
            return
        if self._failures:
            # The renewal that was answered said an end from a reading before the failures: the
            # lease would lapse before the next turn.
            self._wake.set()
        self._failures = 0
        self._lease.record_reading(status.clock_s, self._ports.clock.now())
        self._take_grants(status)

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
        # The server may hold other grants than this leader believes; the next renewal that gets
        # through must carry the whole list.
        self._acknowledged_version = 0
        self._changed.set()

    def _take_grants(self, status: BackendStatus) -> None:
        if status.generation == self._leadership.generation:
            self._acknowledged_version = status.grants_version
        released = frozenset((granted.start, granted.token) for granted in status.released)
        if released != self.released or status.is_draining != self.is_draining:
            self._changed.set()
        self.released = released
        self.is_draining = status.is_draining
