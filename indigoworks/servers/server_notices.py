"""What servers said of themselves in their answers."""

from collections.abc import Callable

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.servers.resting_servers import RestingServers
from indigoworks.servers.server_limits import ServerLimits
from indigoworks.servers.server_notice import ServerNotice, UnreadableHeader
from indigoworks.servers.server_record import ServerRecord

MAX_LOGGED_TEXT = 80
"""Characters of an unreadable wish that a line names."""


class ServerNotices:
    """Takes the notices of all answers, of whatever kind, and remembers them by server.

    :ivar rests: servers that asked this process for rest.
    :ivar limits: servers that name a limit.
    :ivar on_leaving: called when a server has said that it leaves.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.rests = RestingServers(clock)
        self.limits = ServerLimits(clock)
        self._leaving_s: dict[str, float] = {}
        self._heard_leaving: set[str] = set()
        self._unreadable: dict[str, set[str]] = {}
        self.on_leaving: Callable[[], None] = _nothing

    def record(self, server: ServerRecord, notice: ServerNotice, is_own: bool = True) -> None:
        """Take what a server asks for in an answer.

        :param is_own: False: a peer tells of it.
        """
        if notice.rest_s > 0:
            self.rests.record(server, notice.rest_s)
        if notice.is_leaving:
            self._note_leaving(server, is_own)
        if notice.limit_per_s is not None:
            self.limits.record(server, notice.limit_per_s)
        for each in notice.unreadable:
            self._note_unreadable(server, each)

    def has_any(self) -> bool:
        """Tell whether any server asked for anything that holds: a quick look."""
        return bool(self._leaving_s) or self.rests.has_any()

    def says_leaving(self, server_id: str) -> bool:
        """Tell whether a server said in an answer that it leaves; it stays so until its end."""
        return server_id in self._leaving_s

    def leaving_for_s(self, server_id: str) -> float:
        """Return the time since it first said so; 0: it did not."""
        told_s = self._leaving_s.get(server_id)
        return 0.0 if told_s is None else self._clock.now() - told_s

    def leaving_count(self) -> int:
        """Return how many servers are known to have said that they leave."""
        return len(self._leaving_s)

    def said_leaving_within(self, duration_s: float) -> list[str]:
        """Return the servers that told this process itself so short a time ago."""
        return [each for each in self._heard_leaving if self.leaving_for_s(each) < duration_s]

    def forget(self, server_id: str) -> None:
        """Forget a server that left, or an earlier life of one."""
        self.rests.forget(server_id)
        self.limits.forget(server_id)
        self._leaving_s.pop(server_id, None)
        self._heard_leaving.discard(server_id)
        self._unreadable.pop(server_id, None)

    def _note_leaving(self, server: ServerRecord, is_own: bool) -> None:
        """Take note that a server said in an answer that it leaves."""
        if is_own:
            self._heard_leaving.add(server.server_id)
        if server.server_id in self._leaving_s:
            return
        self._leaving_s[server.server_id] = self._clock.now()
        log_message(
            message_type="server:says_leaving",
            server=server.server_id,
            service=server.service,
            is_draining=server.is_draining,
            is_told_by_peer=not is_own,
        )
        self.on_leaving()

    def _note_unreadable(self, server: ServerRecord, header: UnreadableHeader) -> None:
        """Log a wish that cannot be read, once for each header: its text may differ each time."""
        known = self._unreadable.setdefault(server.server_id, set())
        if header.name in known:
            return
        known.add(header.name)
        log_message(
            message_type="server:notice_refused",
            level="ERROR",
            server=server.server_id,
            service=server.service,
            reason=f"{header.name}: {header.text}"[:MAX_LOGGED_TEXT],
        )


def _nothing() -> None:
    """Stand in until somebody wants to know."""
