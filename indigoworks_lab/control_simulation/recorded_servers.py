"""Servers that take orders as the users' pages say, and record what they held."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from itertools import combinations

from indigoworks.common.address import Address
from indigoworks.common.clock import Clock
from indigoworks.ownership.key_grant import KeyGrant
from indigoworks.ownership.key_release import KeyRelease
from indigoworks.ownership.order_outcome import OrderOutcome, OrderResult
from indigoworks.ownership.server_orders import MaySend, NoticeListener
from indigoworks.servers.server_record import ServerRecord


@dataclass(frozen=True, slots=True)
class HoldSpan:
    """Keys `first` to `last` (both inside) were held from `begin_s` to `end_s` of true time."""

    server_id: str
    first: int
    last: int
    begin_s: float
    end_s: float

    def touches(self, first: int, last: int) -> bool:
        """Tell whether one of the keys is among its own."""
        return self.first <= last and first <= self.last


class RecordedServers:
    """Implements `ServerOrders` for servers that never end, on a clock that a test moves.

    :param clock: of who sends orders.
    :param true_s: returns true time, which may have gone on while that clock stood still.
    :ivar silent: servers that answer nothing; grants to them wait in `waiting`.
    :ivar addresses: of servers by id, where orders may go to the address of another one.
    :ivar remembers_releases: a release's token refuses lower grants, as that of a grant does.
    """

    def __init__(self, clock: Clock, true_s: Callable[[], float]) -> None:
        self._clock = clock
        self._true_s = true_s
        self.silent: set[str] = set()
        self.addresses: dict[str, Address] = {}
        self.remembers_releases = True
        self.waiting: list[tuple[str, KeyGrant]] = []
        self.spans: list[HoldSpan] = []
        self._seen: list[tuple[str, int, int, int]] = []

    def add_notice_listener(self, listener: NoticeListener) -> None:
        """Tell nobody anything: these servers ask for nothing."""

    async def grant(
        self, server: ServerRecord, grant: KeyGrant, timeout_s: float, may_send: MaySend
    ) -> OrderOutcome:
        """Take a grant now, or leave it waiting."""
        if not may_send():
            return OrderOutcome(OrderResult.WITHHELD)
        if (misdirected := self._misdirected(server)) is not None:
            return misdirected
        if server.server_id in self.silent:
            self.waiting.append((server.server_id, grant))
            await self._clock.sleep(timeout_s)
            return OrderOutcome(OrderResult.UNANSWERED)
        is_taken = self.take(server.server_id, grant)
        return OrderOutcome(OrderResult.DONE if is_taken else OrderResult.FENCED)

    async def release(
        self, server: ServerRecord, release: KeyRelease, timeout_s: float, may_send: MaySend
    ) -> OrderOutcome:
        """End holds of keys now."""
        if not may_send():
            return OrderOutcome(OrderResult.WITHHELD)
        if (misdirected := self._misdirected(server)) is not None:
            return misdirected
        if server.server_id in self.silent:
            await self._clock.sleep(timeout_s)
            return OrderOutcome(OrderResult.UNANSWERED)
        if self.remembers_releases:
            self._seen.append((server.server_id, release.first, release.last, release.token))
        now_s = self._true_s()
        self.spans = [
            replace(each, end_s=min(each.end_s, now_s))
            if each.server_id == server.server_id and each.touches(release.first, release.last)
            else each
            for each in self.spans
        ]
        return OrderOutcome(OrderResult.DONE, "handed")

    def _misdirected(self, server: ServerRecord) -> OrderOutcome | None:
        """Return how the server at an address refuses an order for another one; None: it is it."""
        for name, address in self.addresses.items():
            if address == server.address and name != server.server_id:
                return OrderOutcome(OrderResult.OTHER_SERVER, answering_id=name)
        return None

    def take(self, server_id: str, grant: KeyGrant) -> bool:
        """Take a grant now; False where a higher token was seen on one of its keys."""
        for name, first, last, token in self._seen:
            is_touched = first <= grant.last and grant.first <= last
            if name == server_id and is_touched and token > grant.token:
                return False
        self._seen.append((server_id, grant.first, grant.last, grant.token))
        now_s = self._true_s()
        self.spans.append(HoldSpan(server_id, grant.first, grant.last, now_s, now_s + grant.hold_s))
        return True

    def take_waiting(self) -> int:
        """Let servers take the grants that wait for them, and return how many did."""
        waiting, self.waiting = self.waiting, []
        for server_id, grant in waiting:
            self.take(server_id, grant)
        return len(waiting)

    def holds(self, server_id: str, key: int) -> bool:
        """Tell whether a server holds a key now."""
        now_s = self._true_s()
        own = [each for each in self.spans if each.server_id == server_id]
        return any(each.touches(key, key) and each.begin_s <= now_s < each.end_s for each in own)

    def overlap_s(self) -> float:
        """Return for how long two servers held the same key at most."""
        return max(
            (
                min(one.end_s, other.end_s) - max(one.begin_s, other.begin_s)
                for one, other in combinations(self.spans, 2)
                if one.server_id != other.server_id and one.touches(other.first, other.last)
            ),
            default=0.0,
        )
