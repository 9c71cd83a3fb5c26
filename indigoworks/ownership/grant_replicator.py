"""Replicates which servers have open grants to the leader's witnesses, before grants are sent."""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable

from indigoworks.common.clock import Clock
from indigoworks.common.event_wait import wait_for_event
from indigoworks.exchange.open_grants import OpenGrants, OpenServer
from indigoworks.exchange.process_id import ProcessId
from indigoworks.exchange.witness_datagram import Acknowledgement, WitnessMessage
from indigoworks.ownership.hold_bounds import HoldBounds
from indigoworks.ownership.hold_policy import HOLD_S, HoldPolicy
from indigoworks.ownership.leadership import Leadership
from indigoworks.ownership.server_reach import ServerReach
from indigoworks.ownership.witness_set import WitnessSet

SendToWitness = Callable[[ProcessId, WitnessMessage], None]
"""Sends a message to a process; it may get lost."""

MIN_PERIOD_S = 0.02
"""Shortest time between two records."""

RESEND_S = 0.05
"""Time after which a record is sent again to witnesses that have not acknowledged it."""

LINGER_S = 0.03
"""A server stays listed for this long after its last grant was answered, so that its ranges, which
are renewed one after the other, need one record and not one each."""

ADMISSION_TIMEOUT_S = 0.5
"""Longest wait for the witnesses; the grant is then tried again later."""

LACKS_STORE_PROOF_AGE_S = 1.0
"""With an older proof of leadership all owners are listed, and long holds are announced: while the
store is out of reach, a lost witness cannot be replaced, and renewals have to go on without it."""


UNTOLD_HOLD_S = 2 * HOLD_S
"""Answered holds that last longer than the record tells by so much are told anew; a server that is
listed has a longer bound than a short hold."""


class GrantReplicator:
    """Implements `GrantAdmission`: lists a server at the witnesses before it is sent a grant.

    A server stays listed until it has answered all its grants. So the successor of this leader,
    which asks a read quorum of them, knows which servers may yet apply a grant that they have not
    answered.

    :param owners: returns the servers that own ranges.
    :param is_gone: returns whether the process of a server has ended.
    """

    def __init__(
        self,
        leadership: Leadership,
        bounds: HoldBounds,
        reach: ServerReach,
        policy: HoldPolicy,
        witnesses: WitnessSet,
        send: SendToWitness,
        owners: Callable[[], Iterable[str]],
        is_gone: Callable[[str], bool],
        clock: Clock,
    ) -> None:
        self._leadership = leadership
        self._bounds = bounds
        self._reach = reach
        self._policy = policy
        self._witnesses = witnesses
        self._send = send
        self._owners = owners
        self._is_gone = is_gone
        self._clock = clock
        self._epoch = 0
        self._number = 0
        self._admitted: Counter[str] = Counter()
        self._ended_s: dict[str, float] = {}
        self._listed_since: dict[str, int] = {}
        self._hold_s = HOLD_S
        self._hold_since = 0
        self._possible_holds = self._possible_since = 0
        self._told_silent: set[str] = set()
        self._told_until_s = float("-inf")
        self._is_wanted = asyncio.Event()
        self._has_progress = asyncio.Event()

    @property
    def number(self) -> int:
        """Return the number of the newest record."""
        return self._number

    # ---- admission ----

    async def admit(self, server_id: str) -> bool:
        """Wait until any successor finds the server listed; False: not in time."""
        self._admitted[server_id] += 1
        is_listed = False
        try:
            is_listed = await self._wait_until_listed(server_id)
        finally:
            if not is_listed:
                self.settle(server_id)
        return is_listed

    def settle(self, server_id: str) -> None:
        """Record that a grant has ended; the server stays listed while one is unanswered."""
        self._admitted[server_id] -= 1
        if self._admitted[server_id] <= 0:
            del self._admitted[server_id]
            self._ended_s[server_id] = self._clock.now()

    def longest_hold_s(self) -> float:
        """Return the longest hold of which any successor learns, in seconds."""
        if not self._witnesses.members():
            return float("inf")
        is_known = self._witnesses.is_kept(self._hold_since)
        return self._hold_s if is_known else min(HOLD_S, self._hold_s)

    async def _wait_until_listed(self, server_id: str) -> bool:
        until_s = self._clock.now() + ADMISSION_TIMEOUT_S
        while not self._is_listed(server_id):
            left_s = until_s - self._clock.now()
            if left_s <= 0:
                return False
            if server_id not in self._listed_since:
                self._is_wanted.set()
            await self._wait_for_progress(left_s)
        return True

    def _is_listed(self, server_id: str) -> bool:
        if not self._witnesses.members():
            return True
        number = self._listed_since.get(server_id)
        return number is not None and self._witnesses.is_kept(number)

    async def _wait_for_progress(self, timeout_s: float) -> None:
        self._has_progress.clear()
        await wait_for_event(self._has_progress, timeout_s)

    # ---- records ----

    def start_epoch(self, epoch: int) -> None:
        """Start an epoch of which this process is the leader."""
        self._epoch = epoch
        self._listed_since = {}
        self._hold_s = HOLD_S
        self._hold_since = self._number + 1
        self._witnesses.start_epoch()
        self.update_named()
        self.request_record()

    async def run(self) -> None:
        """Send records until cancelled."""
        while True:
            await self._wait_until_due()
            self._is_wanted.clear()
            self._send_record()
            await self._clock.sleep(MIN_PERIOD_S)

    def request_record(self) -> None:
        """Send a record soon."""
        self._is_wanted.set()

    def witnesses_changed(self) -> None:
        """Look again whether servers that wait are listed, and send a record soon."""
        self._has_progress.set()
        self.request_record()

    async def sync(self, is_kept: Callable[[int], bool], timeout_s: float) -> bool:
        """Wait until a record of what is known by now is kept; False: not in time.

        :param is_kept: returns whether the record of a number, or a newer one, is.
        """
        number = self._number + 1
        until_s = self._clock.now() + timeout_s
        self.request_record()
        while self._number < number or not is_kept(number):
            left_s = until_s - self._clock.now()
            if left_s <= 0:
                return False
            await self._wait_for_progress(left_s)
        return True

    async def sync_possible_holds(self) -> bool:
        """Wait as `sync` does if possible holds were recorded since the newest record."""
        is_sent = self._bounds.possible_holds == self._possible_holds
        if is_sent and self._witnesses.is_kept(self._possible_since):
            return True
        return await self.sync(self._witnesses.is_kept, ADMISSION_TIMEOUT_S)

    async def wait_acknowledged(self, processes: Iterable[ProcessId], timeout_s: float) -> None:
        """Wait until the processes have acknowledged a record that is newer than the newest now."""
        number = self._number + 1
        until_s = self._clock.now() + timeout_s
        self.request_record()
        while not all(self._witnesses.has_acknowledged(each, number) for each in processes):
            left_s = until_s - self._clock.now()
            if left_s <= 0:
                return
            await self._wait_for_progress(left_s)

    def record_acknowledgement(self, sender: ProcessId, acknowledgement: Acknowledgement) -> None:
        """Record the acknowledgement of a witness."""
        if acknowledgement.epoch == self._epoch:
            self._witnesses.record_acknowledged(sender, acknowledgement.number, self._number)
            self._has_progress.set()

    async def _wait_until_due(self) -> None:
        while not self._is_wanted.is_set():
            await wait_for_event(self._is_wanted, RESEND_S)
            self.update_named()
            is_behind = not self._witnesses.is_kept_by_all(self._number)
            if is_behind or self._is_changed():
                return

    def update_named(self) -> None:
        """Take the witnesses from the newest leader row, unless it is another leader's."""
        if self._leadership.is_named() and self._leadership.row.epoch == self._epoch:
            self._witnesses.set_named(self._leadership.row.witnesses)

    def _send_record(self) -> None:
        self.update_named()
        names = self._names()
        self._number += 1
        self._listed_since = {
            each: self._listed_since.get(each, self._number) for each in sorted(names)
        }
        if self._wanted_hold_s() != self._hold_s:
            self._hold_s = self._wanted_hold_s()
            self._hold_since = self._number
        if self._possible_holds != self._bounds.possible_holds:
            self._possible_holds = self._bounds.possible_holds
            self._possible_since = self._number
        self._told_silent = self._silent()
        left_s = self._bounds.settled_left_s()
        self._told_until_s = self._clock.now() + left_s
        record = OpenGrants(
            self._epoch,
            self._number,
            left_s,
            self._hold_s,
            tuple(self._open_server(each) for each in self._listed_since),
        )
        for process in sorted(self._witnesses.recipients()):
            self._witnesses.record_sent(process)
            self._send(process, record)
        self._has_progress.set()

    def _open_server(self, server_id: str) -> OpenServer:
        left_s = self._bounds.open_until_s(server_id) - self._clock.now()
        return OpenServer(server_id, max(0.0, left_s), self._reach.is_silent(server_id))

    def _is_changed(self) -> bool:
        """Return whether a successor should learn more than the newest record tells."""
        untold_s = self._clock.now() + self._bounds.settled_left_s() - self._told_until_s
        return (
            self._names() != self._listed_since.keys()
            or self._silent() != self._told_silent
            or self._wanted_hold_s() != self._hold_s
            or untold_s > UNTOLD_HOLD_S
        )

    def _silent(self) -> set[str]:
        return {each for each in self._listed_since if self._reach.is_silent(each)}

    def _wanted_hold_s(self) -> float:
        return self._policy.longest_max_s if self._lacks_store() else HOLD_S

    def _lacks_store(self) -> bool:
        """Return whether the store is out of reach; a leader that resigned needs it no more."""
        age_s = self._leadership.proof_age_s()
        return LACKS_STORE_PROOF_AGE_S < age_s < float("inf")

    def _names(self) -> set[str]:
        """Return the servers to list."""
        oldest_s = self._clock.now() - LINGER_S
        self._ended_s = {each: at_s for each, at_s in self._ended_s.items() if at_s > oldest_s}
        names = {*self._ended_s, *self._bounds.open_servers()}
        if self._lacks_store():
            names.update(self._owners())
        return {*self._admitted, *(each for each in names if not self._is_gone(each))}
