"""The row that names the leader of a control group."""

import json
from dataclasses import dataclass

from indigoworks.exchange.process_id import ProcessId
from indigoworks.rowstore.store_version import NO_VERSION, StoreVersion

LEADER_KEY = "leader"


@dataclass(frozen=True, slots=True)
class LeaderRow:
    """Leader of one epoch; an empty `node`: it gave up the leadership.

    :ivar version: version of the row; NO_VERSION: there is no row.
    :ivar witnesses: processes that must acknowledge which servers the leader sends grants to,
        before it does.
    """

    epoch: int
    node: str
    boot: str
    version: StoreVersion
    witnesses: tuple[ProcessId, ...] = ()

    def encode(self) -> bytes:
        """Return the value of the row."""
        document = {
            "epoch": self.epoch,
            "node": self.node,
            "boot": self.boot,
            "witnesses": [[each.node, each.boot] for each in self.witnesses],
        }
        return json.dumps(document).encode()

    def is_same_leader(self, other: "LeaderRow") -> bool:
        """Return whether both rows name the same run of a leader for the same epoch."""
        return (self.epoch, self.node, self.boot) == (other.epoch, other.node, other.boot)

    @classmethod
    def decode(cls, value: bytes, version: StoreVersion) -> "LeaderRow":
        """Read the value of a row.

        :raises ValueError, KeyError, TypeError: the value is not such a row.
        """
        document = json.loads(value)
        witnesses = tuple(ProcessId(node, boot) for node, boot in document.get("witnesses", ()))
        return cls(int(document["epoch"]), document["node"], document["boot"], version, witnesses)


NO_LEADER = LeaderRow(0, "", "", NO_VERSION)
"""The leader row before any leader has written it."""
