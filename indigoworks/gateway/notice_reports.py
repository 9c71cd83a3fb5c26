"""What this gateway tells its peers of servers' wishes, and what they tell it."""

from collections.abc import Iterable

from indigoworks.exchange.notice_note import NoticeNote, merge_notes
from indigoworks.exchange.peer_report import node_checksum
from indigoworks.exchange.server_load import server_checksum
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
        return notices.limits.has_words() or (notices.has_any() and bool(self._wishes()))

    def notes(self) -> tuple[NoticeNote, ...]:
        """Return what the next report says; empty without any work while nobody asks."""
        notices = self._servers.notices
        wishes = self._wishes() if notices.has_any() else []
        limits = self._next_limits() if notices.limits.has_words() else []
        return merge_notes([*wishes, *limits])

    def _wishes(self) -> list[NoticeNote]:
        """Return the wishes that this process was told of itself."""
        notices = self._servers.notices
        resting = [
            NoticeNote(server_checksum(each), notices.rests.left_s(each), (self._own,), False)
            for each in notices.rests.resting()
        ]
        leaving = [
            NoticeNote(server_checksum(each), 0.0, (), True)
            for each in notices.told_leaving_within(LEAVING_TOLD_S)
        ]
        return [*resting, *leaving]

    def _next_limits(self) -> list[NoticeNote]:
        """Return the next part of the words on limits, whoever heard them."""
        words = list(self._servers.notices.limits.words())
        first = self._first_limit % len(words)
        self._first_limit = first + LIMITS_IN_REPORT
        told = (words + words)[first : first + min(LIMITS_IN_REPORT, len(words))]
        return [
            NoticeNote(server_checksum(server_id), 0.0, (), False, word) for server_id, word in told
        ]

    def take(self, notes: Iterable[NoticeNote]) -> None:
        """Take what a report of a peer says."""
        known = tuple(notes)
        if not known:
            return
        by_checksum = {server_checksum(each.server_id): each for each in self._servers.listed()}
        for note in known:
            record = by_checksum.get(note.server)
            if record is None:
                continue
            others = tuple(each for each in note.tellers if each != self._own)
            self._servers.notices.rests.note_told(record, others, note.rest_left_s)
            if note.limit is not None:
                self._servers.notices.limits.take_told(record, note.limit)
            if note.is_leaving:
                self._servers.notices.take(record, ServerNotice(is_leaving=True), is_own=False)
