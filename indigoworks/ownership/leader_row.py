"""The row that names the leader of a control group."""

import json
from dataclasses import dataclass, replace
from typing import Any

from indigoworks.exchange.process_id import ProcessId
from indigoworks.rowstore.store_version import NO_VERSION, StoreVersion

LEADER_KEY = "leader"

MAX_REPLACED = 3
"""Largest number of earlier leaders that a row names."""


@dataclass(frozen=True, slots=True)
class LeaderRow:
    """Leader of one epoch; an empty `node`: it gave up the leadership.

    :ivar version: version of the row; NO_VERSION: there is no row.
    :ivar witnesses: processes that must acknowledge which servers the leader sends grants to,
        before it does.
    :ivar replaced: the row that this leader replaced, for a successor that finds that it has sent
        nothing; None: there was none in this era.
    """

    epoch: int
    node: str
    boot: str
    version: StoreVersion
    witnesses: tuple[ProcessId, ...] = ()
    replaced: "LeaderRow | None" = None

    def encode(self) -> bytes:
        """Return the value of the row."""
        return json.dumps(self._document()).encode()

    def _document(self) -> dict[str, Any]:
        return {
            "epoch": self.epoch,
            "node": self.node,
            "boot": self.boot,
            "witnesses": [[each.node, each.boot] for each in self.witnesses],
            "replaced": None if self.replaced is None else self.replaced._document(),
        }

    def as_replaced(self, count: int = MAX_REPLACED) -> "LeaderRow | None":
        """Return the row as that of its successor names it, with at most `count` leaders."""
        if self.version == NO_VERSION or count == 0:
            return None
        replaced = None if self.replaced is None else self.replaced.as_replaced(count - 1)
        return replace(self, replaced=replaced)

    def is_same_leader(self, other: "LeaderRow") -> bool:
        """Return whether both rows name the same run of a leader for the same epoch."""
        return (self.epoch, self.node, self.boot) == (other.epoch, other.node, other.boot)

    @classmethod
    def decode(cls, value: bytes, version: StoreVersion) -> "LeaderRow":
        """Read the value of a row.

        :raises ValueError, KeyError, TypeError: the value is not such a row.
        """
        return cls._from_document(json.loads(value), version)

    @classmethod
    def _from_document(cls, document: dict[str, Any], version: StoreVersion) -> "LeaderRow":
        """Read a row; a replaced one gets the version of the row that names it."""
        witnesses = tuple(ProcessId(node, boot) for node, boot in document.get("witnesses", ()))
        replaced = document.get("replaced")
        return cls(
            int(document["epoch"]),
            document["node"],
            document["boot"],
            version,
            witnesses,
            None if replaced is None else cls._from_document(replaced, version),
        )


NO_LEADER = LeaderRow(0, "", "", NO_VERSION)
"""The leader row before any leader has written it."""
