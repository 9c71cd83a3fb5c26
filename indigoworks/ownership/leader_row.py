"""The row that names the leader of a control group."""

import json
from dataclasses import dataclass

from indigoworks.rowstore.store_version import NO_VERSION, StoreVersion

LEADER_KEY = "leader"


@dataclass(frozen=True, slots=True)
class LeaderRow:
    """Leader of one epoch; an empty `node`: it gave up the leadership.

    :ivar version: version of the row; NO_VERSION: there is no row.
    """

    epoch: int
    node: str
    boot: str
    version: StoreVersion

    def encode(self) -> bytes:
        """Return the value of the row."""
        return json.dumps({"epoch": self.epoch, "node": self.node, "boot": self.boot}).encode()

    @classmethod
    def decode(cls, value: bytes, version: StoreVersion) -> "LeaderRow":
        """Read the value of a row.

        :raises ValueError, KeyError, TypeError: the value is not such a row.
        """
        document = json.loads(value)
        return cls(int(document["epoch"]), document["node"], document["boot"], version)


NO_LEADER = LeaderRow(0, "", "", NO_VERSION)
"""The leader row before any leader has written it."""
