"""In-memory indexes of the ranges of a control group by service, owner and generation."""

from collections.abc import Sequence

from indigoworks.wire.control_pb2 import RangeRecord

RangeKey = tuple[str, int]
"""Service and start of a range."""


class RangeIndex:
    """Ranges by service and start, with indexes and cached sorted lists.

    The leader reads the ranges many times a second and they change rarely, so a sorted list is
    cached until one of its ranges changes. Callers must not modify a returned list.
    """

    def __init__(self) -> None:
        self._records: dict[RangeKey, RangeRecord] = {}
        self._by_service: dict[str, dict[RangeKey, RangeRecord]] = {}
        self._by_owner: dict[str, dict[RangeKey, RangeRecord]] = {}
        self._by_generation: dict[int, dict[RangeKey, RangeRecord]] = {}
        self._releasing: dict[RangeKey, RangeRecord] = {}
        self._lists_of_service: dict[str, Sequence[RangeRecord]] = {}
        self._lists_of_owner: dict[str, Sequence[RangeRecord]] = {}
        self._list_of_all: Sequence[RangeRecord] | None = None

    def get(self, service: str, start: int) -> RangeRecord | None:
        """Return the range that starts at `start`, or None."""
        return self._records.get((service, start))

    def put(self, record: RangeRecord) -> None:
        """Add a range; no range with its service and start may exist."""
        key = (record.service, record.start)
        self._records[key] = record
        for records in self._indexes_of(record):
            records[key] = record
        self._invalidate_lists(record)

    def remove(self, record: RangeRecord) -> None:
        """Remove an existing range."""
        key = (record.service, record.start)
        del self._records[key]
        for records in self._indexes_of(record):
            del records[key]
        self._invalidate_lists(record)

    def all(self) -> Sequence[RangeRecord]:
        """Return all ranges, sorted by service and start."""
        if self._list_of_all is None:
            self._list_of_all = _sorted(self._records)
        return self._list_of_all

    def of_service(self, service: str) -> Sequence[RangeRecord]:
        """Return the ranges of a service, sorted; the same list object until one changes."""
        found = self._lists_of_service.get(service)
        if found is None:
            found = _sorted(self._by_service.get(service, {}))
            self._lists_of_service[service] = found
        return found

    def of_owner(self, owner: str) -> Sequence[RangeRecord]:
        """Return the ranges of an owner, sorted; the same list object until one changes.

        :param owner: name of a server; empty for ranges without an owner.
        """
        found = self._lists_of_owner.get(owner)
        if found is None:
            found = _sorted(self._by_owner.get(owner, {}))
            self._lists_of_owner[owner] = found
        return found

    def releasing(self) -> Sequence[RangeRecord]:
        """Return the ranges that have a next owner, sorted by service and start."""
        return _sorted(self._releasing)

    def outside_generation(self, generation: int) -> Sequence[RangeRecord]:
        """Return the ranges granted in other generations, sorted by service and start."""
        others = [each for key, each in self._by_generation.items() if key != generation]
        return _sorted({key: record for records in others for key, record in records.items()})

    def _indexes_of(self, record: RangeRecord) -> Sequence[dict[RangeKey, RangeRecord]]:
        indexes = [
            self._by_service.setdefault(record.service, {}),
            self._by_owner.setdefault(record.owner, {}),
            self._by_generation.setdefault(record.generation, {}),
        ]
        if record.next_owner:
            indexes.append(self._releasing)
        return indexes

    def _invalidate_lists(self, record: RangeRecord) -> None:
        self._list_of_all = None
        self._lists_of_service.pop(record.service, None)
        self._lists_of_owner.pop(record.owner, None)


def _sorted(records: dict[RangeKey, RangeRecord]) -> Sequence[RangeRecord]:
    return [records[key] for key in sorted(records)]
