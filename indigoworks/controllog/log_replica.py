"""Replica of the log at one node."""

from collections import deque
from collections.abc import Iterable, Sequence

from indigoworks.controllog.change_signal import ChangeSignal
from indigoworks.controllog.replicated_state import ReplicatedState
from indigoworks.wire.control_pb2 import LogEntry, Snapshot


class LogReplica:
    """The applied state and the newest entries, of which all are committed.

    :ivar batch: newest batch that is applied completely.
    :ivar confirmed_at_s: local clock reading as of which no acknowledged entry was missing here.
    :ivar changed: notified after each change.
    """

    def __init__(self, state: ReplicatedState, kept_entries: int) -> None:
        self.state = state
        self.generation = 0
        self.index = 0
        self.batch = 0
        self.confirmed_at_s: float | None = None
        self.changed = ChangeSignal()
        self._recent: deque[LogEntry] = deque(maxlen=kept_entries)

    def apply(self, entries: Iterable[LogEntry]) -> None:
        """Apply the entries that are not applied yet; they must be contiguous."""
        for entry in entries:
            if entry.index == self.index + 1:
                self.state.apply(entry.index, entry.command)
                self.index = entry.index
                self._recent.append(entry)
        self.changed.notify()

    def restore(self, generation: int, snapshot: Snapshot) -> None:
        """Replace the state by a snapshot."""
        self.state.restore(snapshot.state)
        self.generation = generation
        self.index = snapshot.last_index
        self.batch = 0
        self._recent.clear()
        self.changed.notify()

    def entries_after(self, index: int) -> Sequence[LogEntry] | None:
        """Return the entries after `index`, or None if they are no longer kept."""
        if index >= self.index:
            return ()
        if not self._recent or index < self._recent[0].index - 1:
            return None
        return [entry for entry in self._recent if entry.index > index]

    def confirm(self, reading_s: float) -> None:
        """Record that no acknowledged entry was missing at a reading of the local clock."""
        if self.confirmed_at_s is None or reading_s > self.confirmed_at_s:
            self.confirmed_at_s = reading_s
