"""Body of a range of a service's key space."""

from indigoworks.admin.bodies.body import Body
from indigoworks.wire.control_pb2 import RangeRecord


class RangeBody(Body):
    """A range and its owner; `start` and `end` are hexadecimal and inclusive."""

    service: str
    start: str
    end: str
    owner: str
    owner_incarnation: str
    token: int
    next_owner: str
    generation: int

    @classmethod
    def of(cls, record: RangeRecord) -> "RangeBody":
        """Return the body of `record`."""
        return cls(
            service=record.service,
            start=hexadecimal(record.start),
            end=hexadecimal(record.end),
            owner=record.owner,
            owner_incarnation=record.owner_incarnation,
            token=record.token,
            next_owner=record.next_owner,
            generation=record.generation,
        )


def hexadecimal(position: int) -> str:
    """Return a position in the key space as 0x and 16 digits."""
    return f"0x{position:016x}"
