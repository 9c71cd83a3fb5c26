"""Width of a range."""

from indigoworks.wire.control_pb2 import RangeRecord


def range_width(record: RangeRecord) -> int:
    """Return the number of places in the range."""
    return record.end - record.start + 1
