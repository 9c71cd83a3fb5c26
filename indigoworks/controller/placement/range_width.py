"""Width of a range in the key space."""

from indigoworks.wire.control_pb2 import RangeRecord


def range_width(record: RangeRecord) -> int:
    """Return the number of key-space positions in the range."""
    return record.end - record.start + 1
