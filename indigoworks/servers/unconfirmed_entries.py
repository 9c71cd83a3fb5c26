"""Entries of the server list that may not be a server's own."""

from collections.abc import Mapping

from indigoworks.servers.server_record import ServerRecord


class UnconfirmedEntries:
    """Holds back entries without a start time while other entries have one.

    All servers of a platform state their start time, or none does. A lone entry without it is
    probably another program's. It is accepted once it has been renewed, as servers renew theirs
    with each heartbeat.
    """

    def __init__(self) -> None:
        self._with_start: set[str] = set()
        self._sequences: dict[str, int] = {}
        self._renewed: set[str] = set()
        self._is_withdrawal_due = False

    def accepts(self, record: ServerRecord) -> bool:
        """Return whether an entry is to be applied, and record it."""
        server_id = record.server_id
        if record.started_ms > 0:
            self._is_withdrawal_due = self._is_withdrawal_due or not self._with_start
            self.forget(server_id)
            self._with_start.add(server_id)
            return True
        known_sequence = self._sequences.get(server_id)
        if known_sequence is not None and record.sequence > known_sequence:
            self._renewed.add(server_id)
            self._with_start.discard(server_id)
        self._sequences[server_id] = record.sequence
        return self._is_confirmed(server_id)

    def take_withdrawn(self, applied: Mapping[str, ServerRecord]) -> list[str]:
        """Return the applied entries that are unconfirmed since the first start time was seen."""
        if not self._is_withdrawal_due:
            return []
        self._is_withdrawal_due = False
        without_start = (name for name, each in applied.items() if each.started_ms == 0)
        return [each for each in without_start if not self._is_confirmed(each)]

    def forget(self, server_id: str) -> None:
        """Drop what is known of an entry that vanished."""
        self._with_start.discard(server_id)
        self._sequences.pop(server_id, None)
        self._renewed.discard(server_id)

    def keep_only(self, server_ids: set[str]) -> None:
        """Drop what is known of entries that are not among `server_ids`."""
        for server_id in {*self._with_start, *self._sequences} - server_ids:
            self.forget(server_id)

    def _is_confirmed(self, server_id: str) -> bool:
        return not self._with_start or server_id in self._renewed
