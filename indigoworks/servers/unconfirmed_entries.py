"""Entries of the server list that may not be a server's own."""

from collections.abc import Mapping

from indigoworks.servers.server_record import ServerRecord

MAX_RUNS = 4
"""Runs of a server whose sequences are kept; those that wrote last are."""


class UnconfirmedEntries:
    """Holds back entries without a start time while other entries have one, and of earlier runs.

    All servers of a platform state their start time, or none does. A lone entry without it is
    probably another program's, and so is one with an earlier start than the server under whose id
    it stands. Such an entry is accepted once it has been renewed, as servers renew theirs with each
    heartbeat.
    """

    def __init__(self) -> None:
        self._with_start: set[str] = set()
        self._sequences: dict[str, dict[int, int]] = {}
        self._renewed: set[str] = set()
        self._is_withdrawal_due = False

    def accepts(self, record: ServerRecord, earlier: ServerRecord | None) -> bool:
        """Return whether an entry is to be applied, and record it.

        :param earlier: the entry that the server has had until now.
        """
        server_id = record.server_id
        is_renewed = self._record_sequence(record)
        if record.started_ms > 0:
            self._is_withdrawal_due = self._is_withdrawal_due or not self._with_start
            self._renewed.discard(server_id)
            self._with_start.add(server_id)
            return earlier is None or record.started_ms >= earlier.started_ms or is_renewed
        if is_renewed:
            self._renewed.add(server_id)
            self._with_start.discard(server_id)
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
        for server_id in self._sequences.keys() - server_ids:
            self.forget(server_id)

    def _record_sequence(self, record: ServerRecord) -> bool:
        """Record an entry's sequence; return whether it renews an entry of the same run."""
        runs = self._sequences.setdefault(record.server_id, {})
        known = runs.pop(record.started_ms, None)
        runs[record.started_ms] = record.sequence
        if len(runs) > MAX_RUNS:
            del runs[next(iter(runs))]
        return known is not None and record.sequence > known

    def _is_confirmed(self, server_id: str) -> bool:
        return not self._with_start or server_id in self._renewed
