"""A move of keys from one server to another."""

from dataclasses import dataclass

from indigoworks.ownership.owned_range import OwnedRange


@dataclass(frozen=True, slots=True)
class RangeMove:
    """Keys `first` to `last` go from one server to another."""

    first: int
    last: int
    from_server: str
    to_server: str
    reason: str

    def takes_from(self, owned: OwnedRange) -> bool:
        """Return whether the move takes any key of a range from its owner."""
        is_inside = self.first <= owned.last and owned.first <= self.last
        return is_inside and self.from_server == owned.server_id
