"""The log of a node, in memory."""

from collections.abc import Sequence
from itertools import islice

from indigoworks.consensus.log_position import LogPosition
from indigoworks.wire.control_pb2 import Command, Configuration, LogEntry


class ReplicatedLog:
    """Entries after a base. The base stands for everything up to its index, in a snapshot.

    An empty log without a base has `base_index` 0; entries of a group start at index 2, since
    its first checkpoint stands at index 1.
    """

    def __init__(self, base_index: int, base_term: int, base_configuration: Configuration) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self._base_configuration = base_configuration
        self._entries: list[LogEntry] = []
        self._configuration_entries: list[LogEntry] = []

    @property
    def last_index(self) -> int:
        """Index of the newest entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the newest entry."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def position(self) -> LogPosition:
        """How far the log reaches."""
        return LogPosition(self.last_term, self.last_index)

    @property
    def configuration(self) -> Configuration:
        """Newest configuration in the log, committed or not."""
        return self.configuration_at(self.last_index)

    @property
    def configuration_index(self) -> int:
        """Index of the newest configuration entry; the base index where there is none."""
        entries = self._configuration_entries
        return entries[-1].index if entries else self.base_index

    def configuration_at(self, index: int) -> Configuration:
        """Return the newest configuration at or before `index`."""
        for entry in reversed(self._configuration_entries):
            if entry.index <= index:
                return entry.command.configuration
        return self._base_configuration

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at `index`, or None where the log does not know it."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entry(index).term
        return None

    def held_term_at(self, index: int) -> int:
        """Return the term at an index that the log holds.

        :raises IndexError: the log does not hold that index.
        """
        term = self.term_at(index)
        if term is None:
            raise IndexError(f"log index {index} is not in {self.base_index}..{self.last_index}")
        return term

    def append(self, term: int, command: Command) -> int:
        """Append a command and return its index."""
        index = self.last_index + 1
        self._add(LogEntry(index=index, term=term, command=command))
        return index

    def entries_after(self, index: int, limit: int) -> Sequence[LogEntry]:
        """Return at most `limit` entries that follow `index`."""
        start = index - self.base_index
        return self._entries[start : start + limit]

    def batch_after(self, index: int, limit_bytes: int) -> Sequence[LogEntry]:
        """Return entries that follow `index`, up to the one that reaches `limit_bytes`."""
        batch: list[LogEntry] = []
        size_bytes = 0
        for entry in islice(self._entries, index - self.base_index, None):
            batch.append(entry)
            size_bytes += entry.ByteSize()
            if size_bytes >= limit_bytes:
                break
        return batch

    def merge(self, entries: Sequence[LogEntry]) -> None:
        """Take entries of the leader whose predecessor matches.

        Only an entry that conflicts is cut off: a delayed request must not remove newer entries.
        """
        for entry in entries:
            if entry.index <= self.base_index:
                continue
            known_term = self.term_at(entry.index)
            if known_term == entry.term:
                continue
            if known_term is not None:
                self._cut_from(entry.index)
            self._add(entry)

    def compact(self, index: int) -> None:
        """Drop the entries up to `index`, which must be applied to the replicated state."""
        if index <= self.base_index:
            return
        self._base_configuration = self.configuration_at(index)
        self.base_term = self._entry(index).term
        del self._entries[: index - self.base_index]
        self.base_index = index
        self._configuration_entries = [
            entry for entry in self._configuration_entries if entry.index > index
        ]

    def _add(self, entry: LogEntry) -> None:
        self._entries.append(entry)
        if entry.command.WhichOneof("command") == "configuration":
            self._configuration_entries.append(entry)

    def _cut_from(self, index: int) -> None:
        del self._entries[index - self.base_index - 1 :]
        while self._configuration_entries and self._configuration_entries[-1].index >= index:
            self._configuration_entries.pop()

    def _entry(self, index: int) -> LogEntry:
        return self._entries[index - self.base_index - 1]
