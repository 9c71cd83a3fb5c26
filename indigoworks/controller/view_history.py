"""History of recent changes to the replicated state, the source of view deltas."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from indigoworks.wire.control_pb2 import ChangeRanges, ReplaceSettings, Server, ViewDelta

MAX_KEPT_CHANGES = 4096
"""Number of changes kept. A router that is further behind gets a snapshot."""


@dataclass(frozen=True)
class ViewChange:
    """One change at a log index; exactly one of the other fields is set."""

    index: int
    server: Server | None = None
    ranges: ChangeRanges | None = None
    settings: ReplaceSettings | None = None


class ViewHistory:
    """The most recent changes, oldest first.

    Of settings changes only the latest is kept: a delta needs no other, and a tree may be large.
    """

    def __init__(self) -> None:
        self._base_version = 0
        self._changes: deque[ViewChange] = deque()
        self._newest_settings: ViewChange | None = None

    def clear(self, base_version: int) -> None:
        """Remove all changes; deltas can start at `base_version` or later from now on."""
        self._base_version = base_version
        self._changes.clear()
        self._newest_settings = None

    def add_server(self, index: int, server: Server) -> None:
        """Record a new or changed server."""
        self._add(ViewChange(index, server=server))

    def add_ranges(self, index: int, ranges: ChangeRanges) -> None:
        """Record an applied change of ranges with its assigned tokens."""
        self._add(ViewChange(index, ranges=ranges))

    def add_settings(self, index: int, settings: ReplaceSettings) -> None:
        """Record new settings."""
        self._newest_settings = ViewChange(index, settings=settings)

    def delta(
        self, from_version: int, to_version: int, services: Iterable[str]
    ) -> ViewDelta | None:
        """Return the changes after `from_version`, or None if some are no longer kept.

        :param services: services to include; empty for all.
        """
        if from_version < self._base_version or from_version > to_version:
            return None
        wanted = frozenset(services)
        delta = ViewDelta(from_version=from_version, to_version=to_version)
        for change in self._changes:
            if change.index > from_version:
                self._add_to_delta(delta, change, wanted)
        newest = self._newest_settings
        if newest is not None and newest.settings is not None and newest.index > from_version:
            delta.settings.CopyFrom(newest.settings)
        return delta

    def _add(self, change: ViewChange) -> None:
        self._changes.append(change)
        if len(self._changes) > MAX_KEPT_CHANGES:
            dropped = self._changes.popleft()
            self._base_version = dropped.index

    def _add_to_delta(self, delta: ViewDelta, change: ViewChange, wanted: frozenset[str]) -> None:
        if change.server is not None and (not wanted or change.server.service in wanted):
            delta.servers.append(change.server)
        if change.ranges is not None and (not wanted or _service_of(change.ranges) in wanted):
            delta.changes.append(change.ranges)


def _service_of(change: ChangeRanges) -> str:
    """Return the service of a change of ranges; one change concerns one service."""
    records = change.replacement or change.expected
    return records[0].service if records else ""
