"""A hold that a leader has recorded."""

from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True)
class RecordedHold:
    """Keys `first` to `last` that a server may hold under a token."""

    server_id: str
    first: int
    last: int
    token: int

    def overlaps(self, server_id: str, first: int, last: int) -> bool:
        """Return whether the hold concerns the server and any of the keys."""
        return self.server_id == server_id and self.first <= last and first <= self.last

    def without(self, first: int, last: int) -> "list[RecordedHold]":
        """Return the parts of the hold without keys `first` to `last`."""
        remaining = []
        if self.first < first:
            remaining.append(replace(self, last=first - 1))
        if last < self.last:
            remaining.append(replace(self, first=last + 1))
        return remaining


def remove_keys_below(
    known: dict[RecordedHold, float], server_id: str, first: int, last: int, token: int
) -> None:
    """Remove keys from the holds of a server under tokens below `token`."""
    for hold in [each for each in known if each.overlaps(server_id, first, last)]:
        if hold.token < token:
            until_s = known.pop(hold)
            for remaining in hold.without(first, last):
                known[remaining] = max(until_s, known.get(remaining, until_s))
