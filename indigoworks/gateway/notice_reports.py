"""What this gateway tells its peers of servers' wishes, and what they tell it."""

from collections.abc import Iterable

from indigoworks.exchange.notice_note import NoticeNote, merge_notes
from indigoworks.exchange.peer_report import node_checksum
from indigoworks.exchange.server_load import server_checksum
from indigoworks.servers.server_list import ServerList
from indigoworks.servers.server_notice import ServerNotice

LEAVING_TOLD_S = 5.0
"""For so long after a server told this process that it leaves reports say so. Its own entry says it
by then, or the peers that were not reached are told by the server itself."""


class NoticeReports:
    """Tells only what servers told this process, so that whoever counts the gateways that a server
    asked for rest counts each once.

    :param node: of this process.
    """

    def __init__(self, node: str, servers: ServerList) -> None:
        self._own = node_checksum(node)
        self._servers = servers

    def has_any(self) -> bool:
        """Tell whether there is anything to tell."""
        return self._servers.notices.has_any() and bool(self.notes())

    def notes(self) -> tuple[NoticeNote, ...]:
        """Return what the next report says; empty without any work while nobody asks."""
        notices = self._servers.notices
        if not notices.has_any():
            return ()
        resting = [
            NoticeNote(server_checksum(each), notices.rests.left_s(each), (self._own,), False)
            for each in notices.rests.resting()
        ]
        leaving = [
            NoticeNote(server_checksum(each), 0.0, (), True)
            for each in notices.told_leaving_within(LEAVING_TOLD_S)
        ]
        return merge_notes([*resting, *leaving])

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
            if note.is_leaving:
                self._servers.notices.take(record, ServerNotice(is_leaving=True), is_own=False)
