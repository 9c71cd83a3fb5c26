"""Checks whether silent servers can be reached."""

import asyncio

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.gateway.server_connection import OpenConnection, ServerConnection
from indigoworks.gateway.server_stats import ServerStats
from indigoworks.reach.reach_subsystem import ReachSubsystem
from indigoworks.servers.server_record import ServerRecord
from indigoworks.servers.server_source import ServerSource

MIN_SILENCE_S = 0.3
"""Shortest silence after which a server is checked."""

SILENCE_FACTOR = 4.0
"""Shortest silence before a check as a multiple of the measured service time."""

CONNECT_TIMEOUT_S = 0.25
CHECK_PAUSE_S = 0.3
"""Pause between checks of an unreachable server."""

FRESH_S = 0.25
"""Age up to which the last contact still counts."""


class ReachabilityMonitor:
    """Opens a test connection to a server that has been silent for too long.

    A server is unreachable after one failed connection of a request, or two failed test connections
    in a row. It is then checked until a connection succeeds or it has left the server list.

    :ivar connections_opened: test connections opened so far, failed ones included.
    """

    def __init__(
        self,
        server_stats: ServerStats,
        servers: ServerSource,
        reach: ReachSubsystem,
        clock: Clock,
        open_connection: OpenConnection = ServerConnection,
    ) -> None:
        self._reach = reach
        self._open_connection = open_connection
        self.connections_opened = 0
        self._server_stats = server_stats
        self._servers = servers
        self._clock = clock
        self._checks: dict[str, asyncio.Task[bool]] = {}
        self._reached_s: dict[str, float] = {}
        self._watches: dict[str, asyncio.Task[None]] = {}

    def check_after_s(self, server: ServerRecord) -> float:
        """Return the silence after which a server is checked, in seconds."""
        return max(MIN_SILENCE_S, SILENCE_FACTOR * self._server_stats.service_time_s(server))

    def report_connect_failure(self, server: ServerRecord, is_refused: bool) -> None:
        """Mark a server as unreachable after a failed connection, and start to check it."""
        if not self._server_stats.down.is_down(server.server_id):
            self._set_down(server, is_silent=not is_refused)

    async def has_responded_since(self, server: ServerRecord, since_s: float) -> bool:
        """Return whether a server has answered or accepted a connection after `since_s`, or does
        now.

        Earlier contact does not count: the server may just have crashed.
        """
        while not self._server_stats.down.is_down(server.server_id):
            if self._last_contact_s(server) >= since_s:
                return True
            await self._check_now(server)
        return False

    def is_in_reach(self, server: ServerRecord) -> bool:
        """Return whether a server is not known to be out of reach."""
        return not self._server_stats.down.is_down(server.server_id)

    async def is_reachable(self, server: ServerRecord) -> bool:
        """Return whether a silent server can be reached; checks it unless the result is fresh."""
        if self._clock.now() - self._last_contact_s(server) < FRESH_S:
            return True
        if self._server_stats.down.is_down(server.server_id):
            return False
        return await self._check_now(server)

    def _last_contact_s(self, server: ServerRecord) -> float:
        """Return when a server last answered or accepted a connection."""
        return max(
            self._server_stats.last_response_s(server.server_id),
            self._reached_s.get(server.server_id, float("-inf")),
        )

    async def _check_now(self, server: ServerRecord) -> bool:
        """Check a server; concurrent callers share one check."""
        check = self._checks.get(server.server_id)
        if check is None:
            check = asyncio.ensure_future(self._check(server))
            self._checks[server.server_id] = check
            check.add_done_callback(lambda _: self._checks.pop(server.server_id, None))
        return await asyncio.shield(check)

    def close(self) -> None:
        """End all checks."""
        for task in (*self._checks.values(), *self._watches.values()):
            task.cancel()

    async def _check(self, server: ServerRecord) -> bool:
        for _ in range(2):
            if await self._can_connect(server):
                self._reached_s[server.server_id] = self._clock.now()
                return True
        self._set_down(server, is_silent=True)
        return False

    async def _can_connect(self, server: ServerRecord) -> bool:
        connection = self._open_connection(server.address, "")
        self.connections_opened += 1
        is_connected = await connection.connect(CONNECT_TIMEOUT_S)
        connection.abort()
        return is_connected

    def _set_down(self, server: ServerRecord, is_silent: bool) -> None:
        self._server_stats.down.set_down(server.server_id, True)
        self._reach.record_failure(server.server_id, is_silent)
        log_message(
            message_type="server:out_of_reach",
            level="WARNING",
            server=server.server_id,
            service=server.service,
            address=str(server.address),
        )
        if server.server_id not in self._watches:
            watch = asyncio.ensure_future(self._watch(server))
            self._watches[server.server_id] = watch
            watch.add_done_callback(lambda _: self._watches.pop(server.server_id, None))

    async def _watch(self, server: ServerRecord) -> None:
        while self._servers.get(server.server_id) is not None:
            await self._clock.sleep(CHECK_PAUSE_S)
            if await self._can_connect(server):
                self._server_stats.down.set_down(server.server_id, False)
                self._reached_s[server.server_id] = self._clock.now()
                log_message(
                    message_type="server:in_reach", server=server.server_id, service=server.service
                )
                return
        self._server_stats.down.set_down(server.server_id, False)
