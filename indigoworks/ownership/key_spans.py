"""Sets of keys by server, as spans."""

Span = tuple[int, int]
"""First and last key, inclusive."""


class KeySpans:
    """A set of keys for each server."""

    def __init__(self) -> None:
        self._spans: dict[str, list[Span]] = {}

    def add(self, server_id: str, first: int, last: int) -> None:
        """Add keys `first` to `last` of a server; adjacent spans are merged."""
        apart = []
        for span in self._spans.get(server_id, []):
            if span[0] <= last + 1 and first <= span[1] + 1:
                first, last = min(first, span[0]), max(last, span[1])
            else:
                apart.append(span)
        self._spans[server_id] = [*apart, (first, last)]

    def remove(self, server_id: str, first: int, last: int) -> None:
        """Remove keys `first` to `last` of a server."""
        remaining = []
        for span in self._spans.get(server_id, []):
            before, after = (span[0], min(span[1], first - 1)), (max(span[0], last + 1), span[1])
            remaining += [each for each in (before, after) if each[0] <= each[1]]
        self._spans[server_id] = remaining

    def covers(self, server_id: str, first: int, last: int) -> bool:
        """Return whether all of keys `first` to `last` are in the set of a server."""
        return any(span[0] <= first and last <= span[1] for span in self._spans.get(server_id, []))

    def overlaps(self, server_id: str, first: int, last: int) -> bool:
        """Return whether any of keys `first` to `last` is in the set of a server."""
        return any(span[0] <= last and first <= span[1] for span in self._spans.get(server_id, []))
