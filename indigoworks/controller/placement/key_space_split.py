"""Splits of a key space into ranges."""

from collections.abc import Sequence

from indigoworks.common.ring.key_hash import KEY_SPACE_MAX
from indigoworks.wire.control_pb2 import RangeRecord


def split_key_space(service: str, count: int) -> Sequence[RangeRecord]:
    """Return `count` adjacent ranges of equal width, without owners, that cover the key space."""
    size = KEY_SPACE_MAX + 1
    starts = [size * position // count for position in range(count)]
    ends = [start - 1 for start in starts[1:]] + [KEY_SPACE_MAX]
    return [
        RangeRecord(service=service, start=start, end=end)
        for start, end in zip(starts, ends, strict=True)
    ]


def split_out_position(record: RangeRecord, position: int) -> Sequence[RangeRecord]:
    """Return the parts of `record`, one of them a range for `position` alone.

    The parts keep owner and token, so requests sent under the whole range stay valid.
    """
    bounds = [(record.start, position - 1), (position, position), (position + 1, record.end)]
    return [_part(record, start, end) for start, end in bounds if start <= end]


def _part(record: RangeRecord, start: int, end: int) -> RangeRecord:
    part = RangeRecord()
    part.CopyFrom(record)
    part.start = start
    part.end = end
    return part
