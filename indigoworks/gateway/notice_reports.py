"""What this gateway tells its peers of servers' wishes, and what they tell it."""

from collections.abc import Iterable

from indigoworks.exchange.peer_report import node_checksum
from indigoworks.exchange.server_load import server_checksum
from indigoworks.exchange.shared_notice import SharedNotice, merge_notices
from indigoworks.servers.server_list import ServerList
from indigoworks.servers.server_notice import ServerNotice

LIMITS_IN_REPORT = 14
"""Words on limits in one report; where there are more each report goes on where the last ended. In
a group of 195 gateways, whose hubs report each 0.1 to 0.2 s, 100 such servers take about a
second."""

LEAVING_TOLD_S = 5.0
"""For so long after a server told this process that it leaves reports say so. Its own entry says it
by then, or the peers that were not reached are told by the server itself."""


class NoticeReports:
    """Tells of rests and leavings only what servers told this process, so that whoever counts the
    gateways that a server asked for rest counts each once. Of limits it tells the newest word that
    it knows: they bind all, and the gateway that heard one may end.

    :param node: of this process.
    """

    def __init__(self, node: str, servers: ServerList) -> None:
        self._own = node_checksum(node)
        self._servers = servers
        self._first_limit = 0

    def has_any(self) -> bool:
        """Tell whether there is anything to tell."""
        notices = self._servers.notices
        return notices.limits.has_reported() or (notices.has_any() and bool(self._own_notes()))

    def next_notes(self) -> tuple[SharedNotice, ...]:
        """Return what the next report says; empty without any work while nobody asks."""
        notices = self._servers.notices
        wishes = self._own_notes() if notices.has_any() else []
        limits = self._next_limits() if notices.limits.has_reported() else []
        return merge_notices([*wishes, *limits])

    def _own_notes(self) -> list[SharedNotice]:
        """Return the wishes that this process was told of itself."""
        notices = self._servers.notices
        resting = [
            SharedNotice(server_checksum(each), notices.rests.left_s(each), (self._own,), False)
            for each in notices.rests.resting()
        ]
        leaving = [
            SharedNotice(server_checksum(each), 0.0, (), True)
            for each in notices.said_leaving_within(LEAVING_TOLD_S)
        ]
        return [*resting, *leaving]

    def _next_limits(self) -> list[SharedNotice]:
        """Return the next part of the words on limits, whoever heard them."""
        words = list(self._servers.notices.limits.reported_limits())
        first = self._first_limit % len(words)
        self._first_limit = first + LIMITS_IN_REPORT
        told = (words + words)[first : first + min(LIMITS_IN_REPORT, len(words))]
        return [
            SharedNotice(server_checksum(server_id), 0.0, (), False, word)
            for server_id, word in told
        ]

    def apply(self, notes: Iterable[SharedNotice]) -> None:
        """Take what a report of a peer says."""
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
