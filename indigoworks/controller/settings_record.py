"""Row of the platform's table service that stores a group's settings tree."""

import json
from dataclasses import dataclass

from indigoworks.wire.control_pb2 import AcceptedChange, ReplaceSettings

MAX_RECENT_CHANGES = 256
"""Number of accepted change ids that are kept to recognize repeated changes."""


@dataclass(frozen=True)
class SettingsRecord:
    """A version of the settings tree as stored in the table service.

    The tree's version is the version of its row: each change increments it by one, through a
    compare-and-set.

    :ivar tree: canonical JSON.
    :ivar earlier_change_ids: ids of the changes that created the versions before this one, newest
        last; at most MAX_RECENT_CHANGES.
    """

    version: int
    change_id: str
    tree: bytes
    earlier_change_ids: tuple[str, ...] = ()

    def successor(self, change_id: str, tree: bytes) -> "SettingsRecord":
        """Return the record that a change to this one creates."""
        earlier = self.earlier_change_ids
        if self.version > 0:
            earlier = (*earlier, self.change_id)[-MAX_RECENT_CHANGES:]
        return SettingsRecord(self.version + 1, change_id, tree, earlier)

    def has_change(self, change_id: str) -> bool:
        """Return whether the change created this version or a recorded earlier one."""
        return self.version > 0 and change_id in (*self.earlier_change_ids, self.change_id)

    def to_command(self, generation: int) -> ReplaceSettings:
        """Return the log command that puts the record in force."""
        return ReplaceSettings(
            version=self.version,
            change_id=self.change_id,
            tree=self.tree,
            generation=generation,
            recent_changes=self._recent_changes(),
        )

    def to_row_value(self) -> bytes:
        """Serialize the record as the value of its row."""
        content = {
            "change_id": self.change_id,
            "earlier_change_ids": self.earlier_change_ids,
            "tree": self.tree.decode("utf-8"),
        }
        return json.dumps(content, sort_keys=True).encode("utf-8")

    @classmethod
    def from_row(cls, value: bytes, version: int) -> "SettingsRecord":
        """Parse the value of the row at `version`."""
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
    """Return the key of a group's settings row."""
    return f"groups/{group_id}/settings"
