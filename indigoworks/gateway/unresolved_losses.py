"""Requests lost at servers of which it is not known yet whether they crashed."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.common.supervision import supervise
from indigoworks.quarantine.request_mark import MarkedRequest
from indigoworks.servers.server_list import ServerList
from indigoworks.servers.server_record import ServerRecord

CHECK_PERIOD_S = 0.3
"""Time between two looks at the server list."""

REWRITES_OF_A_LIVING_RUN = 3
"""Entries that a run must write after the loss to count as alive: one may have been under way when
it ended, and a store in trouble may apply another one late."""

MAX_LOSSES = 512
RETENTION_S = 600.0
"""As long as crashes under a request are remembered: a server may be away for minutes."""

RESTARTED, REPLACED, GONE, ALIVE, EXPIRED = "restarted", "replaced", "gone", "alive", "expired"
"""What became of a server."""

CRASHED = frozenset({RESTARTED, REPLACED, GONE})


@dataclass(frozen=True, slots=True)
class RequestLoss:
    """A request that got no response.

    :ivar scopes: what a crash of the server counts against.
    :ivar server: the server's entry as it was known when the request was sent.
    :ivar lost_s: clock reading of the loss.
    :ivar known_windows: windows of crashes that were known when the request was sent.
    """

    scopes: tuple[MarkedRequest, ...]
    request_id: str
    server: ServerRecord
    lost_s: float
    known_windows: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class _Entry:
    """A loss, and the entries that the server's run has written since."""

    loss: RequestLoss
    newest: ServerRecord
    rewrites: int = 0


class UnresolvedLosses:
    """Keeps losses until the server list shows whether the server's process has ended.

    A connection that is refused shows a crash only if another server accepts one: a cut of this
    gateway looks the same. A server that is back at once refuses none, and may never tell that it
    has lost the request. Later the list tells: the entry of another run, or of another server at
    the address, shows that the process has ended, and
    renewed entries of the same run that it has not.

    :param record_crash: called with each loss whose server has crashed.
    :param is_unreached: returns whether a server is out of reach while others are not.
    """

    def __init__(
        self,
        servers: ServerList,
        record_crash: Callable[[RequestLoss], None],
        is_unreached: Callable[[ServerRecord], Awaitable[bool]],
        clock: Clock,
    ) -> None:
        self._servers = servers
        self._record_crash = record_crash
        self._is_unreached = is_unreached
        self._clock = clock
        self._entries: list[_Entry] = []
        self._task: asyncio.Task[None] | None = None

    def add(self, loss: RequestLoss) -> None:
        """Keep a loss; the oldest one is dropped if there are MAX_LOSSES."""
        newest = self._servers.get(loss.server.server_id) or loss.server
        self._entries = [*self._entries[1 - MAX_LOSSES :], _Entry(loss, newest)]
        if self._task is None or self._task.done():
            work = supervise("unresolved_losses", self._run, self._clock)
            self._task = asyncio.ensure_future(work)

    def count(self) -> int:
        """Return the number of losses that are kept."""
        return len(self._entries)

    def close(self) -> None:
        """Stop looking at the list."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while self._entries:
            await self._clock.sleep(CHECK_PERIOD_S)
            await self._check_all()

    async def _check_all(self) -> None:
        gone = await self._gone_servers()
        kept: list[_Entry] = []
        resolved: dict[tuple[str, str], list[RequestLoss]] = {}
        for entry in map(self._with_newest, self._entries):
            outcome = self._outcome(entry, gone)
            if outcome is None:
                kept.append(entry)
            else:
                key = (entry.loss.server.server_id, outcome)
                resolved.setdefault(key, []).append(entry.loss)
        self._entries = kept
        for (server_id, outcome), losses in resolved.items():
            self._resolve(server_id, outcome, losses)

    async def _gone_servers(self) -> set[str]:
        """Return the servers that are not listed and out of reach, while others are in reach."""
        servers = {each.loss.server.server_id: each.loss.server for each in self._entries}
        return {
            server_id
            for server_id, server in servers.items()
            if not self._servers.is_listed(server_id) and await self._is_unreached(server)
        }

    def _resolve(self, server_id: str, outcome: str, losses: list[RequestLoss]) -> None:
        log_message(
            message_type="server:losses_resolved",
            server=server_id,
            outcome=outcome,
            requests=len(losses),
            oldest_age_s=round(self._clock.now() - losses[0].lost_s, 3),
        )
        if outcome in CRASHED:
            for loss in losses:
                self._record_crash(loss)

    def _with_newest(self, entry: _Entry) -> _Entry:
        """Return the entry with the newest record of the server, and its rewrites counted."""
        newest = self._servers.get(entry.loss.server.server_id)
        if newest is None or newest.version <= entry.newest.version:
            return entry
        return replace(entry, newest=newest, rewrites=entry.rewrites + 1)

    def _outcome(self, entry: _Entry, gone: set[str]) -> str | None:
        """Return what became of the server; None: that is not known yet."""
        server = entry.loss.server
        if 0 < server.started_ms < entry.newest.started_ms:
            return RESTARTED
        if self._servers.has_successor(server.server_id):
            return REPLACED
        if entry.rewrites >= REWRITES_OF_A_LIVING_RUN:
            return ALIVE
        if server.server_id in gone:
            return GONE
        is_expired = self._clock.now() - entry.loss.lost_s > RETENTION_S
        return EXPIRED if is_expired else None
