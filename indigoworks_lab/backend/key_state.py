"""State of one key in a stand-in back end."""

from dataclasses import dataclass, replace

RECENT_ENTRIES = 16


@dataclass(frozen=True)
class KeyState:
    """Value and entries of one key.

    :ivar entry_count: entries appended since the state began.
    :ivar recent_entries: request ids of the newest entries, oldest first.
    """

    value: bytes = b""
    entry_count: int = 0
    recent_entries: tuple[str, ...] = ()

    def with_value(self, value: bytes) -> "KeyState":
        """Return this state with another value."""
        return replace(self, value=value)

    def with_entry(self, request_id: str) -> "KeyState":
        """Return this state with one more entry."""
        recent = (*self.recent_entries, request_id)[-RECENT_ENTRIES:]
        return replace(self, entry_count=self.entry_count + 1, recent_entries=recent)
