"""Entry of a server in the platform's list."""

from dataclasses import dataclass

from indigoworks.common.address import Address
from indigoworks.rowstore.store_version import StoreVersion


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """Entry of one run of a server process.

    :ivar server_id: id of the server; a restarted server may have another id or the same one.
    :ivar slots: requests that it runs at the same time.
    :ivar is_draining: it has announced that it will leave.
    :ivar warm_up_left_s: seconds for which it stays slow, as of `version`.
    :ivar version: version of its row in the store.
    :ivar started_ms: Unix milliseconds of its start, to distinguish runs of one id; 0: unknown.
    :ivar sequence: increases with each entry that this run writes; 0: unknown.
    """

    server_id: str
    service: str
    address: Address
    zone: str
    slots: int
    is_draining: bool
    warm_up_left_s: float
    version: StoreVersion
    started_ms: int = 0
    sequence: int = 0

    def is_older_entry_than(self, known: "ServerRecord") -> bool:
        """Return whether this is an entry older than `known`, from a restored copy of the store.

        Such an entry neither revokes that its server leaves, nor shows that a server whose entry
        vanished is back.
        """
        is_same_run = self.started_ms == known.started_ms
        is_later_era = self.version.era > known.version.era
        return is_later_era and is_same_run and 0 < self.sequence <= known.sequence
