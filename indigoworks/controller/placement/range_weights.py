"""Weight of each range: its estimated share of the load of its service."""

from collections import defaultdict
from collections.abc import Mapping, Sequence

from indigoworks.common.ring.key_hash import KEY_SPACE_MAX
from indigoworks.controller.placement.range_width import range_width
from indigoworks.wire.control_pb2 import RangeRecord, Server

KEY_SPACE_WIDTH = KEY_SPACE_MAX + 1

WIDTH_SHARE = 0.2
"""Part of a weight that comes from the width of the range: future load is expected to follow the
keys, and a range without requests still has a cost."""

MIN_TOTAL_BUSY_SLOTS = 0.5
"""Load of a service below which weights ignore load and follow the widths alone."""


class RangeWeights:
    """Weights of the ranges of one service; their sum is 1."""

    def __init__(
        self, records: Sequence[RangeRecord], loads: Mapping[tuple[str, int], float]
    ) -> None:
        """Compute the total load.

        :param loads: busy slots by service and start of the range; missing ranges count as 0.
        """
        self._loads = loads
        self._records = records
        self._total_load = sum(map(self._load, records))
        self.is_by_load = self._total_load >= MIN_TOTAL_BUSY_SLOTS

    def __call__(self, record: RangeRecord) -> float:
        """Return the weight of a range."""
        by_width = range_width(record) / KEY_SPACE_WIDTH
        if not self.is_by_load:
            return by_width
        by_load = self._load(record) / self._total_load
        return WIDTH_SHARE * by_width + (1.0 - WIDTH_SHARE) * by_load

    def busy_ratio(self, servers: Sequence[Server]) -> float:
        """Return the highest share of busy slots among `servers`; 0 without servers."""
        busy: defaultdict[str, float] = defaultdict(float)
        for record in self._records:
            busy[record.next_owner or record.owner] += self._load(record)
        return max((busy[each.name] / max(1, each.slots) for each in servers), default=0.0)

    def _load(self, record: RangeRecord) -> float:
        return self._loads.get((record.service, record.start), 0.0)
