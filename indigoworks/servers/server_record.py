"""One server as the platform lists it."""

from dataclasses import dataclass

from indigoworks.common.address import Address
from indigoworks.rowstore.store_version import StoreVersion


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """One life of a server process.

    :ivar server_id: names this life; a restarted server has another id, or the same one.
    :ivar slots: requests that it works on at the same time.
    :ivar is_draining: it announced that it will leave.
    :ivar warm_up_left_s: seconds for which it stays slow, as of `version`.
    :ivar version: version of its row in the store.
    :ivar started_ms: Unix milliseconds of its start, which tells lives of one id apart; 0: unknown.
    :ivar sequence: grows with each entry that this life writes; 0: unknown.
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

    def is_older_word_than(self, known: "ServerRecord") -> bool:
        """Tell whether a copy of the store brought back what this server had said before `known`.

        A leaving is not taken back by it, and a server whose entry vanished has not come again.
        """
        is_same_life = self.started_ms == known.started_ms
        is_later_era = self.version.era > known.version.era
        return is_later_era and is_same_life and 0 < self.sequence <= known.sequence
