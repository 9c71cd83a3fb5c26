"""Notices from the responses of servers, kept by server."""

from collections.abc import Callable

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.servers.resting_servers import RestingServers
from indigoworks.servers.server_limits import ServerLimits
from indigoworks.servers.server_notice import ServerNotice, UnreadableHeader
from indigoworks.servers.server_record import ServerRecord

MAX_LOGGED_TEXT = 80
"""Characters of a malformed header that are logged."""


class ServerNotices:
    """Records the notices of all responses, whatever their status, by server.

    :ivar rests: rests that servers asked of this process or of its peers.
    :ivar limits: limits that servers named, here or at a peer.
    :ivar on_leaving: called when a server first says that it leaves.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.rests = RestingServers(clock)
        self.limits = ServerLimits(clock)
        self._leaving_s: dict[str, float] = {}
        self._own_leaving: set[str] = set()
        self._logged_headers: dict[str, set[str]] = {}
        self.on_leaving: Callable[[], None] = _nothing

    def record(self, server: ServerRecord, notice: ServerNotice, is_own: bool = True) -> None:
        """Record what a server asks for in a response.

        :param is_own: False: a peer reports it.
        """
        if notice.rest_s > 0:
            self.rests.record(server, notice.rest_s)
        if notice.is_leaving:
            self._record_leaving(server, is_own)
        if notice.limit_per_s is not None:
            self.limits.record(server, notice.limit_per_s)
        for each in notice.unreadable:
            self._log_unreadable(server, each)

    def has_any(self) -> bool:
        """Return whether any server asks for rest or leaves: a cheap check."""
        return bool(self._leaving_s) or self.rests.has_any()

    def says_leaving(self, server_id: str) -> bool:
        """Return whether a server said in a response that it leaves; this is not revoked."""
        return server_id in self._leaving_s

    def leaving_for_s(self, server_id: str) -> float:
        """Return the seconds since a server first said that it leaves; 0: it did not."""
        said_s = self._leaving_s.get(server_id)
        return 0.0 if said_s is None else self._clock.now() - said_s

    def leaving_count(self) -> int:
        """Return the number of servers that are known to have said that they leave."""
        return len(self._leaving_s)

    def said_leaving_within(self, duration_s: float) -> list[str]:
        """Return the servers that told this process within `duration_s` that they leave."""
        return [each for each in self._own_leaving if self.leaving_for_s(each) < duration_s]

    def forget(self, server_id: str) -> None:
        """Remove a server that left, or an earlier run of one."""
        self.rests.forget(server_id)
        self.limits.forget(server_id)
        self._leaving_s.pop(server_id, None)
        self._own_leaving.discard(server_id)
        self._logged_headers.pop(server_id, None)

    def _record_leaving(self, server: ServerRecord, is_own: bool) -> None:
        """Record that a server said in a response that it leaves."""
        if is_own:
            self._own_leaving.add(server.server_id)
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

    def _log_unreadable(self, server: ServerRecord, header: UnreadableHeader) -> None:
        """Log a malformed header once for each name, as its text may differ each time."""
        known = self._logged_headers.setdefault(server.server_id, set())
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
    """Do nothing: the default listener."""
