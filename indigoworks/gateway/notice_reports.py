"""Exchange of servers' notices (rest, leaving, rate limits) with the peers."""

from collections.abc import Iterable

from indigoworks.exchange.peer_report import node_checksum
from indigoworks.exchange.server_load import server_checksum
from indigoworks.exchange.shared_notice import SharedNotice, merge_notices
from indigoworks.servers.server_list import ServerList
from indigoworks.servers.server_notice import ServerNotice

LIMITS_IN_REPORT = 14
"""Limits in one report; if there are more, each report continues where the last one ended. In a
group of 195 gateways, whose hubs report every 0.1 to 0.2 s, 100 limited servers take about a
second."""

LEAVING_REPORTED_S = 5.0
"""Time for which reports repeat that a server told this process that it is leaving. By then its own
entry says so, or the server itself has told the peers that the reports did not reach."""


class NoticeReports:
    """Builds the notices of outgoing reports, and applies those of received ones.

    Rests and leavings are reported only by the gateway that the server told, so that each gateway
    that a server asked for rest is counted once. Limits apply to all gateways, and the one that
    received a limit may stop, so each gateway reports the newest limits that it knows.

    :param node: name of this process.
    """

    def __init__(self, node: str, servers: ServerList) -> None:
        self._own = node_checksum(node)
        self._servers = servers
        self._first_limit = 0

    def has_any(self) -> bool:
        """Return whether there is anything to report."""
        notices = self._servers.notices
        return notices.limits.has_reported() or (notices.has_any() and bool(self._own_notes()))

    def next_notes(self) -> tuple[SharedNotice, ...]:
        """Return the notices of the next report; cheap while there are none."""
        notices = self._servers.notices
        own = self._own_notes() if notices.has_any() else []
        limits = self._next_limits() if notices.limits.has_reported() else []
        return merge_notices([*own, *limits])

    def _own_notes(self) -> list[SharedNotice]:
        """Return the rests and leavings that servers told this process."""
        notices = self._servers.notices
        resting = [
            SharedNotice(server_checksum(each), notices.rests.left_s(each), (self._own,), False)
            for each in notices.rests.resting()
        ]
        leaving = [
            SharedNotice(server_checksum(each), 0.0, (), True)
            for each in notices.said_leaving_within(LEAVING_REPORTED_S)
        ]
        return [*resting, *leaving]

    def _next_limits(self) -> list[SharedNotice]:
        """Return the next part of the known limits, whichever gateway received them."""
        known = list(self._servers.notices.limits.reported_limits())
        first = self._first_limit % len(known)
        self._first_limit = first + LIMITS_IN_REPORT
        part = (known + known)[first : first + min(LIMITS_IN_REPORT, len(known))]
        return [
            SharedNotice(server_checksum(server_id), 0.0, (), False, limit)
            for server_id, limit in part
        ]

    def apply(self, notes: Iterable[SharedNotice]) -> None:
        """Apply the notices of a peer's report."""
        known = tuple(notes)
        if not known:
            return
        by_checksum = {server_checksum(each.server_id): each for each in self._servers.listed()}
        for note in known:
            record = by_checksum.get(note.server)
            if record is None:
                continue
            others = tuple(each for each in note.reporters if each != self._own)
            self._servers.notices.rests.record_from_peer(record, others, note.rest_left_s)
            if note.limit is not None:
                self._servers.notices.limits.record_from_peer(record, note.limit)
            if note.is_leaving:
                self._servers.notices.record(record, ServerNotice(is_leaving=True), is_own=False)
