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
"""A server stays listed for this long after its last grant was answered: all ranges of a server are
renewed one after the other."""

ADMISSION_TIMEOUT_S = 0.5
"""Longest wait for the witnesses; the grant is then tried again later."""

TROUBLE_PROOF_AGE_S = 1.0
"""With an older proof of leadership all owners are listed, and long holds are announced: while the
store is out of reach, a lost witness cannot be replaced, and renewals have to go on without it."""


class GrantReplicator:
    """Implements `GrantAdmission`: lists a server at all witnesses before it is sent a grant.

    A server stays listed until it has answered all its grants. So the successor of this leader,
    which asks one witness, knows which servers may yet apply a grant that they have not answered.

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
        self._settled_s: dict[str, float] = {}
        self._listed_since: dict[str, int] = {}
        self._long_since: int | None = None
        self._is_wanted = asyncio.Event()
        self._has_progress = asyncio.Event()

    @property
    def number(self) -> int:
        """Return the number of the newest record."""
        return self._number

    # ---- admission ----

    async def admit(self, server_id: str) -> bool:
        """Wait until all witnesses list the server; False: they did not in time."""
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
            self._settled_s[server_id] = self._clock.now()

    def longest_hold_s(self) -> float:
        """Return the longest hold that all witnesses know to be possible, in seconds."""
        if not self._witnesses.required():
            return float("inf")
        if self._long_since is not None and self._witnesses.have_acknowledged(self._long_since):
            return self._policy.longest_max_s
        return HOLD_S

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
        if not self._witnesses.required():
            return True
        number = self._listed_since.get(server_id)
        return number is not None and self._witnesses.have_acknowledged(number)

    async def _wait_for_progress(self, timeout_s: float) -> None:
        self._has_progress.clear()
        await wait_for_event(self._has_progress, timeout_s)

    # ---- records ----

    def start_epoch(self, epoch: int) -> None:
        """Start an epoch of which this process is the leader."""
        self._epoch = epoch
        self._listed_since = {}
        self._long_since = None
        self._witnesses.start_epoch()
        self._update_named()
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
            self._update_named()
            is_behind = not self._witnesses.have_acknowledged(self._number)
            is_changed = self._is_in_trouble() != (self._long_since is not None)
            if is_behind or is_changed or self._names() != self._listed_since.keys():
                return

    def _update_named(self) -> None:
        """Take the witnesses from the newest leader row, unless it is another leader's."""
        if self._leadership.is_named() and self._leadership.row.epoch == self._epoch:
            self._witnesses.set_named(self._leadership.row.witnesses)

    def _send_record(self) -> None:
        self._update_named()
        names = self._names()
        self._number += 1
        self._listed_since = {
            each: self._listed_since.get(each, self._number) for each in sorted(names)
        }
        if not self._is_in_trouble():
            self._long_since = None
        elif self._long_since is None:
            self._long_since = self._number
        record = OpenGrants(
            self._epoch,
            self._number,
            self._bounds.settled_left_s(),
            HOLD_S if self._long_since is None else self._policy.longest_max_s,
            tuple(self._open_server(each) for each in self._listed_since),
        )
        for process in sorted(self._witnesses.required()):
            self._witnesses.record_sent(process)
            self._send(process, record)
        self._has_progress.set()

    def _open_server(self, server_id: str) -> OpenServer:
        left_s = self._bounds.open_until_s(server_id) - self._clock.now()
        return OpenServer(server_id, max(0.0, left_s), self._reach.is_silent(server_id))

    def _is_in_trouble(self) -> bool:
        return self._leadership.proof_age_s() > TROUBLE_PROOF_AGE_S

    def _names(self) -> set[str]:
        """Return the servers to list."""
        oldest_s = self._clock.now() - LINGER_S
        self._settled_s = {each: at_s for each, at_s in self._settled_s.items() if at_s > oldest_s}
        names = {*self._settled_s, *self._bounds.open_servers()}
        if self._is_in_trouble():
            names.update(self._owners())
        return {*self._admitted, *(each for each in names if not self._is_gone(each))}
