"""Owners of the keys of simulated services."""

from collections.abc import Sequence
from random import Random

from indigoworks.ownership.owned_range import OwnedRange
from indigoworks.ownership.ownership_table import KEY_COUNT, OwnershipTable
from indigoworks.ownership.ownership_tables import OwnershipTables
from indigoworks.rowstore.store_version import StoreVersion


class OwnerMoves:
    """Shares keys out among servers, and moves those of a server that ended.

    It stands for the leader of the gateways: a server that has ended owns nothing after a while.
    """

    def __init__(self, random: Random) -> None:
        self.tables = OwnershipTables()
        self._random = random

    def share(self, service: str, server_ids: Sequence[str]) -> None:
        """Give each server an equal part of all keys."""
        width = KEY_COUNT // len(server_ids)
        firsts = [number * width for number in range(len(server_ids))]
        lasts = [each - 1 for each in firsts[1:]] + [KEY_COUNT - 1]
        ranges = tuple(
            OwnedRange(first, last, server_id, token)
            for token, (first, last, server_id) in enumerate(
                zip(firsts, lasts, server_ids, strict=True), 1
            )
        )
        self._put(service, ranges, len(ranges))

    def move(self, service: str, server_id: str, heirs: Sequence[str]) -> None:
        """Give the keys of one server to another one."""
        table = self.tables.table(service)
        if not heirs or not table.ranges_of(server_id):
            return
        heir = self._random.choice(heirs)
        token = table.highest_token + 1
        ranges = tuple(
            OwnedRange(each.first, each.last, heir, token) if each.server_id == server_id else each
            for each in table.ranges
        )
        self._put(service, ranges, token)

    def _put(self, service: str, ranges: tuple[OwnedRange, ...], token: int) -> None:
        version = StoreVersion(0, self.tables.table(service).version.counter + 1)
        self.tables.put(OwnershipTable(service, ranges, token, version))
