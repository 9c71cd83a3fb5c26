"""The row of the table service that holds a group's settings tree."""

import json
from dataclasses import dataclass

from indigoworks.wire.control_pb2 import AcceptedChange, ReplaceSettings

MAX_RECENT_CHANGES = 256
"""Accepted changes remembered, so that a repeat of one is known for what it is."""


@dataclass(frozen=True)
class SettingsRecord:
    """A version of the tree as it stands in the table service.

    The version of the tree is the version of its row, so it grows by one with each change and
    only a compare-and-set can make it grow.

    :ivar tree: canonical JSON.
    :ivar earlier_change_ids: ids of the changes that made the versions before this one, newest
        last, at most MAX_RECENT_CHANGES.
    """

    version: int
    change_id: str
    tree: bytes
    earlier_change_ids: tuple[str, ...] = ()

    def successor(self, change_id: str, tree: bytes) -> "SettingsRecord":
        """Return the record that a change of this one makes."""
        earlier = self.earlier_change_ids
        if self.version > 0:
            earlier = (*earlier, self.change_id)[-MAX_RECENT_CHANGES:]
        return SettingsRecord(self.version + 1, change_id, tree, earlier)

    def has_change(self, change_id: str) -> bool:
        """Tell whether the change made this version or one of those before it."""
        return self.version > 0 and change_id in (*self.earlier_change_ids, self.change_id)

    def to_command(self, generation: int) -> ReplaceSettings:
        """Return the command that puts the record in force."""
        return ReplaceSettings(
            version=self.version,
            change_id=self.change_id,
            tree=self.tree,
            generation=generation,
            recent_changes=self._recent_changes(),
        )

    def to_row_value(self) -> bytes:
        """Return the value of the row."""
        content = {
            "change_id": self.change_id,
            "earlier_change_ids": self.earlier_change_ids,
            "tree": self.tree.decode("utf-8"),
        }
        return json.dumps(content, sort_keys=True).encode("utf-8")

    @classmethod
    def from_row(cls, value: bytes, version: int) -> "SettingsRecord":
        """Read the value of the row at `version`."""
        content = json.loads(value)
        return cls(
            version,
            content["change_id"],
            content["tree"].encode("utf-8"),
            tuple(content["earlier_change_ids"]),
        )

    @classmethod
    def in_force(cls, settings: ReplaceSettings) -> "SettingsRecord":
        """Return the record of the settings in force."""
        earlier = [each.change_id for each in settings.recent_changes[:-1]]
        return cls(settings.version, settings.change_id, settings.tree, tuple(earlier))

    def _recent_changes(self) -> list[AcceptedChange]:
        if self.version == 0:
            return []
        change_ids = (*self.earlier_change_ids, self.change_id)
        first_version = self.version - len(change_ids) + 1
        return [
            AcceptedChange(change_id=change_id, version=first_version + position)
            for position, change_id in enumerate(change_ids)
        ]


def settings_row_key(group_id: int) -> str:
    """Return the key of the row."""
    return f"groups/{group_id}/settings"
