"""A server that holds keys, as the pages of the platform describe it."""

import asyncio

from indigoworks.common.address import Address
from indigoworks.ownership.key_grant import KeyGrant
from indigoworks.ownership.key_release import KeyRelease
from indigoworks.ownership.order_outcome import OrderOutcome, OrderResult
from indigoworks_lab.control_simulation.held_keys import HeldKeys
from indigoworks_lab.control_simulation.interval_map import IntervalMap, Piece
from indigoworks_lab.control_simulation.running_work import RunningWork
from indigoworks_lab.control_simulation.server_listener import ServerListener
from indigoworks_lab.control_simulation.server_queue import ServerQueue

NOTHING = HeldKeys(0, float("-inf"), float("-inf"))
"""What a server holds of a key that it was never granted."""


class SimulatedServer:
    """One life of a server process.

    :param clock_factor: true seconds that a second of its clock for leases takes, 1 to 1.02.
    :param forgets_releases: only the tokens of grants count as seen.
    :ivar is_misdirected: it answers 421 to orders and names no id, and goes on.
    :ivar is_up: False once the process has ended.
    :ivar queue: orders and requests wait there while the process stands still; its clock for
        leases goes on.
    """

    def __init__(
        self,
        server_id: str,
        address: Address,
        slots: int,
        clock_factor: float,
        loop: asyncio.AbstractEventLoop,
        listener: ServerListener,
        forgets_releases: bool = False,
    ) -> None:
        self.server_id = server_id
        self.address = address
        self.slots = slots
        self.is_up = True
        self.is_draining = False
        self.is_misdirected = False
        self.running: list[RunningWork] = []
        self._clock_factor = clock_factor
        self._loop = loop
        self._listener = listener
        self._forgets_releases = forgets_releases
        self._held: IntervalMap[HeldKeys] = IntervalMap(NOTHING)
        self._seen: IntervalMap[int] = IntervalMap(0)
        self._handovers = 0
        self.queue = ServerQueue(loop)

    # ---- orders ----

    def grant(self, grant: KeyGrant, is_excused: bool) -> OrderOutcome:
        """Take a grant now; its time counts from this moment.

        :param is_excused: the rules do not count it, because its transit was disturbed.
        """
        first, last, token = grant.first, grant.last, grant.token
        if any(piece.value > token for piece in self._seen.pieces(first, last)):
            return OrderOutcome(OrderResult.FENCED)
        self._listener.taking(self.server_id, grant, is_excused)
        until_s = self._loop.time() + grant.hold_s * self._clock_factor
        for piece in list(self._held.pieces(first, last)):
            counted_s = piece.value.counted_until_s if is_excused else until_s
            self._held.set(piece.first, piece.last, HeldKeys(token, until_s, counted_s))
        self._seen.set(first, last, token)
        for work in self.running:
            if first <= work.key <= last:
                work.lease = self._held.get(work.key)
        return OrderOutcome(OrderResult.DONE)

    async def release(self, release: KeyRelease) -> OrderOutcome:
        """Begin no new work on the keys; answers when the work on them has ended."""
        first, last = release.first, release.last
        self._held.set(first, last, NOTHING)
        for piece in list(self._seen.pieces(first, last)):
            if piece.value < release.token and not self._forgets_releases:
                self._seen.set(piece.first, piece.last, release.token)
        for work in [each for each in self.running if first <= each.key <= last]:
            await work.done.wait()
        self._handovers += 1
        return OrderOutcome(OrderResult.DONE, f"{self.server_id}-{self._handovers}")

    # ---- requests ----

    async def work(self, key: int, duration_s: float) -> bool:
        """Run a request; False where it was turned away or its lease ended."""
        now_s = self._loop.time()
        lease = self._held.get(key)
        if not self.is_up or lease.until_s <= now_s or len(self.running) >= self.slots:
            return False
        self._listener.beginning(self.server_id, key)
        work = RunningWork(key, lease, asyncio.Event())
        self.running.append(work)
        end_s = now_s + duration_s
        while self.is_up and now_s < min(end_s, work.lease.until_s):
            await asyncio.sleep(min(end_s, work.lease.until_s) - now_s)
            now_s = self._loop.time()
        await self.queue.turn()
        self.running.remove(work)
        work.done.set()
        return self.is_up and now_s >= end_s

    def end(self) -> None:
        """The process is gone."""
        self.is_up = False

    # ---- questions ----

    def held(self) -> list[Piece[HeldKeys]]:
        """Return what it holds now."""
        return self.held_between(0, None)

    def held_between(self, first: int, last: int | None) -> list[Piece[HeldKeys]]:
        """Return what it holds now of keys `first` to `last` (None: to the end)."""
        if not self.is_up:
            return []
        now_s = self._loop.time()
        pieces = self._held.pieces(first) if last is None else self._held.pieces(first, last)
        return [piece for piece in pieces if piece.value.until_s > now_s]

    def holds(self, key: int) -> bool:
        """Tell whether it would begin a request on a key."""
        return self.is_up and self._held.get(key).until_s > self._loop.time()
