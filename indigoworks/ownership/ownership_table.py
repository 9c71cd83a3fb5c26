"""The table of key ranges and their owners of one service."""

import json
from bisect import bisect_right
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from indigoworks.ownership.owned_range import FormerOwner, OwnedRange
from indigoworks.rowstore.store_version import NO_VERSION, StoreVersion

KEY_COUNT = 65536
"""Number of keys of a service; keys are integers from 0."""


@dataclass(frozen=True)
class OwnershipTable:
    """Ranges sorted by key; they cover all keys, or the table is empty.

    :ivar highest_token: at least every token that any range of the service ever had.
    :ivar version: version of the row that holds this table; NO_VERSION: there is no row yet.
    :ivar starts: Unix milliseconds at which owners had started when the row was written, of those
        whose start was known.
    """

    service: str
    ranges: tuple[OwnedRange, ...]
    highest_token: int
    version: StoreVersion
    starts: Mapping[str, int] = field(default_factory=dict, compare=False)
    _firsts: list[int] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "_firsts", [each.first for each in self.ranges])

    def find(self, key: int) -> OwnedRange | None:
        """Return the range that holds `key`; None: the table is empty."""
        index = bisect_right(self._firsts, key) - 1
        if index < 0 or not self.ranges[index].holds(key):
            return None
        return self.ranges[index]

    def ranges_of(self, server_id: str) -> tuple[OwnedRange, ...]:
        """Return the ranges of one server."""
        return tuple(each for each in self.ranges if each.server_id == server_id)

    def encode(self) -> bytes:
        """Return the value of the row that holds this table."""
        ranges = [
            [
                each.first,
                each.last,
                each.server_id,
                each.token,
                [[former.server_id] for former in each.former],
            ]
            for each in self.ranges
        ]
        document: dict[str, Any] = {"highest_token": self.highest_token, "ranges": ranges}
        if self.starts:
            document["starts"] = dict(self.starts)
        return json.dumps(document, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, service: str, value: bytes, version: StoreVersion) -> "OwnershipTable":
        """Read the value of a row.

        :raises ValueError, KeyError, TypeError: the value is not such a row.
        """
        document = json.loads(value)
        ranges = tuple(
            OwnedRange(first, last, server_id, token, _read_former(former))
            for first, last, server_id, token, former in document["ranges"]
        )
        starts = {name: int(each) for name, each in dict(document.get("starts", {})).items()}
        return cls(service, ranges, int(document["highest_token"]), version, starts)

    @classmethod
    def empty(cls, service: str) -> "OwnershipTable":
        """Return the table of a service that has no row yet."""
        return cls(service, (), 0, NO_VERSION)


def _read_former(entries: list[list[Any]]) -> tuple[FormerOwner, ...]:
    """Decode former owners; a bound after the id, as an older version wrote it, is ignored."""
    return tuple(FormerOwner(entry[0]) for entry in entries)
