"""One range of a service's key space and its owner."""

from dataclasses import dataclass


@dataclass(frozen=True, order=True)
class RangeAssignment:
    """Range [start, end] of `service`, both ends included, and who owns it.

    :ivar owner: name of the owning server; empty if no server owns the range.
    :ivar owner_incarnation: incarnation of the owning server that holds the grant.
    :ivar token: fencing token; a later owner of any part of the range has a larger one.
    :ivar next_owner: server that gets the range once `owner` has released it; empty otherwise.
    """

    service: str
    start: int
    end: int
    owner: str = ""
    owner_incarnation: str = ""
    token: int = 0
    next_owner: str = ""

    def contains(self, position: int) -> bool:
        """Tell whether `position` lies in the range."""
        return self.start <= position <= self.end
