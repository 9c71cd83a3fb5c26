"""The range keepers of a leader."""

from collections.abc import Callable, Iterable

from indigoworks.exchange.leader_beat import PendingRange
from indigoworks.ownership.order_outcome import OrderResult
from indigoworks.ownership.owned_range import OwnedRange
from indigoworks.ownership.ownership_table import OwnershipTable
from indigoworks.ownership.range_keeper import RangeKeeper
from indigoworks.ownership.range_move import RangeMove

MakeKeeper = Callable[[str, OwnedRange], RangeKeeper]


class KeeperSet:
    """Runs one keeper for each range of the current tables.

    A part of a split range keeps its owner and token: what the owner holds stays granted, and from
    then on each part is renewed separately.
    """

    def __init__(self, make_keeper: MakeKeeper) -> None:
        self._make_keeper = make_keeper
        self._keepers: dict[str, dict[OwnedRange, RangeKeeper]] = {}
        self._granted_at_stop: dict[str, frozenset[OwnedRange]] = {}

    def update(self, service: str, table: OwnershipTable) -> None:
        """Start keepers of new ranges and stop those of ranges that no longer exist."""
        keepers = self._keepers.setdefault(service, {})
        wanted = set(table.ranges)
        new = [each for each in table.ranges if each not in keepers]
        granted = {each: self._is_covered(keepers.values(), each) for each in new}
        for owned in [each for each in keepers if each not in wanted]:
            keepers.pop(owned).stop()
        for owned in new:
            keeper = keepers[owned] = self._make_keeper(service, owned)
            keeper.start(granted[owned])

    async def quiesce(self, service: str, table: OwnershipTable) -> None:
        """Stop sending grants for ranges that `table` changes; returns when none is in flight."""
        wanted = set(table.ranges)
        for keeper in [each for each in self._keepers_of(service) if each.owned not in wanted]:
            await keeper.quiesce()

    def resume(self, service: str) -> None:
        """Resume the renewals of all ranges of a service."""
        for keeper in self._keepers_of(service):
            keeper.resume()

    def stop_all(self) -> None:
        """Stop all keepers, and remember which ranges counted as granted."""
        self._granted_at_stop = {
            service: frozenset(self.granted(service)) for service in self._keepers
        }
        for keepers in self._keepers.values():
            for keeper in keepers.values():
                keeper.stop()
        self._keepers = {}

    def granted(self, service: str) -> list[OwnedRange]:
        """Return the ranges that count as granted; see RangeKeeper.is_granted."""
        return [each.owned for each in self._keepers_of(service) if each.is_granted]

    def granted_at_stop(self, service: str) -> frozenset[OwnedRange]:
        """Return the ranges that counted as granted when `stop_all` was last called."""
        return self._granted_at_stop.get(service, frozenset())

    async def confirm(self, service: str, owned: OwnedRange) -> OrderResult | None:
        """Renew one grant once, and return the result; None: nothing was sent."""
        return await self._make_keeper(service, owned).renew()

    async def release(self, service: str, owned: OwnedRange, server_id: str) -> bool:
        """Send a server a release of the keys of `owned`, under the token before its own.

        Returns whether that rules the server out.
        """
        return await self._make_keeper(service, owned).release_from(server_id)

    def granted_count(self) -> int:
        """Return the number of ranges, over all services, that count as granted."""
        return sum(len(self.granted(service)) for service in self._keepers)

    def count(self) -> int:
        """Return the number of ranges over all services."""
        return sum(len(keepers) for keepers in self._keepers.values())

    def needing_token(self, service: str) -> list[OwnedRange]:
        """Return the ranges whose owners have seen a higher token."""
        return [each.owned for each in self._keepers_of(service) if each.needs_token]

    def needing_fence(self, service: str) -> list[OwnedRange]:
        """Return the ranges whose owners may still apply a grant that they left unanswered."""
        return [each.owned for each in self._keepers_of(service) if each.needs_fence]

    def return_moves(self, service: str) -> list[RangeMove]:
        """Return the moves of ranges back to former owners that answer again."""
        moves = (each.return_move for each in self._keepers_of(service))
        return [each for each in moves if each is not None]

    def pending(self) -> tuple[PendingRange, ...]:
        """Return the ranges that are not granted yet."""
        return tuple(
            PendingRange(keeper.service, keeper.owned.first, keeper.owned.last, keeper.owned.token)
            for keepers in self._keepers.values()
            for keeper in keepers.values()
            if not keeper.is_granted
        )

    def _keepers_of(self, service: str) -> Iterable[RangeKeeper]:
        return self._keepers.get(service, {}).values()

    def _is_covered(self, keepers: Iterable[RangeKeeper], owned: OwnedRange) -> bool:
        """Return whether all keys are already granted to the same owner.

        It holds them under the same token, or under an earlier one that is replaced only to rule
        out an unanswered grant.
        """
        covered = sum(
            min(each.owned.last, owned.last) - max(each.owned.first, owned.first) + 1
            for each in keepers
            if each.is_granted
            and each.owned.server_id == owned.server_id
            and (each.owned.token == owned.token or each.needs_fence)
            and each.owned.first <= owned.last
            and owned.first <= each.owned.last
        )
        return covered == owned.width
