"""Detects that this gateway has lost its path to all servers."""

import asyncio
from collections.abc import Callable, Iterable
from random import Random

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.reach.connect_test import ConnectTest
from indigoworks.reach.server_sample import sample_servers
from indigoworks.servers.server_record import ServerRecord

FAILURE_VALID_S = 3.0
"""Time for which a failed connection to a server counts as a sign."""

MIN_FAILED = 2
"""Servers that must have failed, with no connection opened in between, before the path is lost."""

RETEST_PERIOD_S = 0.2
"""Pause between tests of a lost path."""

ACCEPT_VALID_S = 0.5
"""Age up to which an opened connection proves that servers are reached."""


class PathMonitor:
    """Tells a lost path from servers that fail, by whether any server accepts a connection.

    A path is lost if MIN_FAILED servers have failed since one last accepted a connection, and each
    server of a sample from all zones fails as well. It is back with the first that accepts one.

    :param listed: returns the servers of the list.
    :ivar changed: called when the path is lost, or is back.
    """

    def __init__(
        self,
        listed: Callable[[], Iterable[ServerRecord]],
        can_connect: ConnectTest,
        clock: Clock,
        random: Random,
    ) -> None:
        self._listed = listed
        self._can_connect = can_connect
        self._clock = clock
        self._random = random
        self._failed_s: dict[str, float] = {}
        self._accepted_s = self._responded_s = float("-inf")
        self._lost_s: float | None = None
        self._survey: asyncio.Task[bool] | None = None
        self._retest: asyncio.Task[None] | None = None
        self.changed: list[Callable[[], None]] = []

    @property
    def is_lost(self) -> bool:
        """Return whether no server is reached from here."""
        return self._lost_s is not None

    def lost_for_s(self) -> float:
        """Return for how long the path has been lost, in seconds; 0: it is not."""
        return 0.0 if self._lost_s is None else self._clock.now() - self._lost_s

    def record_accept(self) -> None:
        """Record that a server accepted a connection."""
        self._accepted_s = self._clock.now()
        self._failed_s.clear()
        if self._lost_s is not None:
            self._restore()

    def record_response(self) -> None:
        """Record that a server answered a request, perhaps over a kept connection."""
        self._responded_s = self._clock.now()

    def record_failure(self, server_id: str, is_silent: bool) -> None:
        """Record that a connection to a server failed.

        :param is_silent: there was no answer, not even a refusal.
        """
        now_s = self._clock.now()
        self._failed_s[server_id] = now_s
        for known in [
            each for each, at_s in self._failed_s.items() if now_s - at_s > FAILURE_VALID_S
        ]:
            del self._failed_s[known]
        if not self.is_lost and (is_silent or len(self._failed_s) >= MIN_FAILED):
            self._start_survey()

    async def is_sound(self, since_s: float) -> bool:
        """Return whether a server has answered or accepted a connection since `since_s`, or accepts
        one now."""
        if self.is_lost:
            return False
        newest_s = max(self._accepted_s, self._responded_s)
        return newest_s >= since_s or await asyncio.shield(self._start_survey())

    async def reaches_servers(self) -> bool:
        """Return whether connections to servers can be opened from here, as far as it can be told.

        Without any server to test nothing speaks against it.
        """
        if self.is_lost:
            return False
        if self._clock.now() - self._accepted_s <= ACCEPT_VALID_S:
            return True
        return await asyncio.shield(self._start_survey()) or not self.is_lost

    def close(self) -> None:
        """End all tests."""
        for task in (self._survey, self._retest):
            if task is not None:
                task.cancel()

    def _start_survey(self) -> "asyncio.Task[bool]":
        """Return the survey in progress, or a new one."""
        if self._survey is None or self._survey.done():
            self._survey = asyncio.ensure_future(self._run_survey())
        return self._survey

    async def _run_survey(self) -> bool:
        """Test a sample of servers; return whether any accepts a connection."""
        began_s = self._clock.now()
        if await self._any_accepts(self._failed_s) or self._accepted_s >= began_s:
            return True
        if not self.is_lost and len(self._failed_s) >= MIN_FAILED:
            self._lose()
        return False

    async def _any_accepts(self, excluded: Iterable[str]) -> bool:
        servers = sample_servers(self._listed(), set(excluded), self._random)
        results = await asyncio.gather(*(self._test(each) for each in servers))
        return any(results)

    async def _test(self, server: ServerRecord) -> bool:
        is_accepted = await self._can_connect(server)
        if is_accepted:
            self.record_accept()
        else:
            self._failed_s[server.server_id] = self._clock.now()
        return is_accepted

    def _lose(self) -> None:
        self._lost_s = self._clock.now()
        log_message(
            message_type="path:lost",
            level="WARNING",
            failed=len(self._failed_s),
            servers=sum(1 for _ in self._listed()),
        )
        self._retest = asyncio.ensure_future(self._run_retests())
        self._notify()

    def _restore(self) -> None:
        lost_for_s = self.lost_for_s()
        self._lost_s = None
        if self._retest is not None:
            self._retest.cancel()
        log_message(message_type="path:back", lost_for_s=round(lost_for_s, 3))
        self._notify()

    async def _run_retests(self) -> None:
        while self.is_lost:
            await self._clock.sleep(RETEST_PERIOD_S)
            await self._any_accepts(())

    def _notify(self) -> None:
        for listener in self.changed:
            listener()
