"""A gateway as witness of a leader's grants."""

from dataclasses import dataclass

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.exchange.open_grants import OpenGrants

KEPT_EPOCHS = 8
"""Number of epochs of which the newest record is kept."""


@dataclass(frozen=True, slots=True)
class _Received:
    grants: OpenGrants
    at_s: float


class GrantWitness:
    """Keeps the newest record of open grants of each leader, for the process that replaces it.

    Once an epoch is fenced, nothing more of it is acknowledged: its leader cannot send a grant to a
    server that is not listed in the record that the successor got.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._records: dict[int, _Received] = {}
        self._fenced_epoch = 0
        self._dropped_epoch = 0

    def record(self, grants: OpenGrants) -> bool:
        """Keep a record; returns whether to acknowledge it."""
        if grants.epoch <= self._fenced_epoch:
            return False
        known = self._records.get(grants.epoch)
        if known is None or known.grants.number < grants.number:
            self._records[grants.epoch] = _Received(grants, self._clock.now())
            self._drop_old()
        return True

    def fence(self, epoch: int) -> OpenGrants | None:
        """Acknowledge no more records up to `epoch`; returns its newest one, aged until now.

        None: there is none; see `remembers`.
        """
        if epoch > self._fenced_epoch:
            self._fenced_epoch = epoch
            log_message(message_type="witness:fenced", epoch=epoch)
        known = self._records.get(epoch)
        return None if known is None else known.grants.aged(self._clock.now() - known.at_s)

    def _drop_old(self) -> None:
        for epoch in sorted(self._records)[:-KEPT_EPOCHS]:
            del self._records[epoch]
            self._dropped_epoch = epoch

    def remembers(self, epoch: int) -> bool:
        """Return whether a missing record of `epoch` means that none was received."""
        return epoch > self._dropped_epoch
