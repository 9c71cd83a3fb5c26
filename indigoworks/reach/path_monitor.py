"""Detects that this gateway has lost its path to all servers."""

import asyncio
from collections.abc import Callable, Collection, Iterable
from random import Random

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.common.supervision import supervise
from indigoworks.reach.connect_test import ConnectTest
from indigoworks.reach.server_sample import sample_servers
from indigoworks.servers.server_record import ServerRecord

FAILURE_VALID_S = 3.0
"""Time for which a failed connection to a server counts as a sign."""

MIN_FAILED = 2
"""Servers that must have failed, with no connection opened in between, before the path is lost."""

ACCEPT_VALID_S = 1.0
"""Age up to which an opened connection proves that servers are reached."""

SURVEY_PAUSE_S = 0.5
"""Time after an accepted connection in which failures start no survey: many servers may fail for
reasons of their own, and each survey opens connections to others."""

MIN_ACCEPTED = 2
"""Servers of a sample that must accept a connection before a lost path is back."""

RETEST_PERIOD_S = 0.2
"""Pause between tests of a lost path."""


class PathMonitor:
    """Tells a lost path from servers that fail, by whether any server accepts a connection.

    A path is lost if MIN_FAILED servers have failed since one last accepted a connection, and each
    server of a sample from all zones fails as well. It is back when MIN_ACCEPTED of a sample accept
    one, or a server answers.

    :param listed: returns the servers of the list.
    :param can_connect: tests whether a connection to a server stays open for a moment.
    :param can_open: tests only whether it comes about, which takes less time.
    """

    def __init__(
        self,
        listed: Callable[[], Iterable[ServerRecord]],
        can_connect: ConnectTest,
        can_open: ConnectTest,
        clock: Clock,
        random: Random,
    ) -> None:
        self._listed = listed
        self._can_connect = can_connect
        self._can_open = can_open
        self._clock = clock
        self._random = random
        self._failed_s: dict[str, float] = {}
        self._accepted_s = self._responded_s = self._opened_s = float("-inf")
        self._lost_s: float | None = None
        self._survey: asyncio.Task[None] | None = None
        self._retest: asyncio.Task[None] | None = None
        self._lost_listeners: list[Callable[[], None]] = []
        self._back_listeners: list[Callable[[], None]] = []

    def on_lost(self, listener: Callable[[], None]) -> None:
        """Call `listener` when the path is lost."""
        self._lost_listeners.append(listener)

    def on_back(self, listener: Callable[[], None]) -> None:
        """Call `listener` when the path is back."""
        self._back_listeners.append(listener)

    @property
    def is_lost(self) -> bool:
        """Return whether no server is reached from here."""
        return self._lost_s is not None

    @property
    def is_doubtful(self) -> bool:
        """Return whether several servers have failed since one last accepted a connection."""
        return self.is_lost or len(self._failed_s) >= MIN_FAILED

    def lost_for_s(self) -> float:
        """Return for how long the path has been lost, in seconds; 0: it is not."""
        return 0.0 if self._lost_s is None else self._clock.now() - self._lost_s

    def record_answer(self) -> None:
        """Record that a server answered over a connection that was just opened."""
        self._record_accept()
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
        earliest_s = now_s - FAILURE_VALID_S
        for stale in [each for each, at_s in self._failed_s.items() if at_s < earliest_s]:
            del self._failed_s[stale]
        is_fresh = now_s - self._accepted_s < SURVEY_PAUSE_S
        if not (self.is_lost or is_fresh) and (is_silent or len(self._failed_s) >= MIN_FAILED):
            self._start_survey()

    async def is_sound(self, since_s: float) -> bool:
        """Return whether a server has answered or accepted a connection since `since_s`, or accepts
        one now."""
        if self.is_lost:
            return False
        if max(self._accepted_s, self._responded_s, self._opened_s) >= since_s:
            return True
        servers = self._sample(set(self._failed_s)) or self._sample()
        if await self._first_of(self._can_open, servers):
            self._opened_s = self._clock.now()
            return True
        self._lose_if_all_fail()
        # Without another server to test nothing speaks against the path.
        return not servers and not self.is_lost

    async def reaches_any(self) -> bool:
        """Return whether a server accepted a connection recently, or one of a sample does now.

        Without any server to test nothing speaks against the path.
        """
        if self.is_lost:
            return False
        if self._clock.now() - self._accepted_s <= ACCEPT_VALID_S:
            return True
        if await self._first_of(self._test, self._sample()):
            return True
        self._lose_if_all_fail()
        return not self.is_lost

    async def accepting_share(self) -> float:
        """Test a sample of servers, and return the share that accepts a connection.

        Without any server to test nothing speaks against the path: 1.
        """
        results = await self._test_sample()
        if not results:
            return 1.0
        if not any(results):
            self._lose_if_all_fail()
        return sum(results) / len(results)

    def close(self) -> None:
        """End all tests."""
        for task in (self._survey, self._retest):
            if task is not None:
                task.cancel()

    def _start_survey(self) -> None:
        if self._survey is None or self._survey.done():
            self._survey = asyncio.ensure_future(self._run_survey())

    async def _run_survey(self) -> None:
        """Test a sample of servers; the path is lost if none accepts a connection."""
        began_s = self._clock.now()
        results = await self._test_sample(set(self._failed_s))
        # Where every server has failed, a failure may be older than its cause.
        results = results or await self._test_sample()
        if not any(results) and self._accepted_s < began_s:
            self._lose_if_all_fail()

    async def _first_of(self, test: ConnectTest, servers: Collection[ServerRecord]) -> bool:
        """Test servers at once, and return as soon as one passes."""
        tests = [asyncio.ensure_future(test(each)) for each in servers]
        try:
            for each in asyncio.as_completed(tests):
                if await each:
                    return True
            return False
        finally:
            for each in tests:
                each.cancel()

    async def _test_sample(self, excluded: Collection[str] = ()) -> list[bool]:
        """Test a sample of servers at once; return for each whether it accepts a connection."""
        return await asyncio.gather(*(self._test(each) for each in self._sample(excluded)))

    def _sample(self, excluded: Collection[str] = ()) -> list[ServerRecord]:
        return sample_servers(self._listed(), excluded, self._random)

    async def _test(self, server: ServerRecord) -> bool:
        is_accepted = await self._can_connect(server)
        if not is_accepted:
            self._failed_s[server.server_id] = self._clock.now()
        elif not self.is_lost:
            self._record_accept()
        return is_accepted

    def _record_accept(self) -> None:
        self._accepted_s = self._clock.now()
        self._failed_s.clear()

    def _lose_if_all_fail(self) -> None:
        if not self.is_lost and len(self._failed_s) >= MIN_FAILED:
            self._lose()

    def _lose(self) -> None:
        self._lost_s = self._clock.now()
        log_message(
            message_type="path:lost",
            level="WARNING",
            failed=len(self._failed_s),
            servers=sum(1 for _ in self._listed()),
        )
        self._retest = asyncio.ensure_future(
            supervise("path_retests", self._run_retests, self._clock)
        )
        _call(self._lost_listeners)

    def _restore(self) -> None:
        self._record_accept()
        lost_for_s = self.lost_for_s()
        self._lost_s = None
        if self._retest is not None:
            self._retest.cancel()
        log_message(message_type="path:back", lost_for_s=round(lost_for_s, 3))
        _call(self._back_listeners)

    async def _run_retests(self) -> None:
        while self.is_lost:
            await self._clock.sleep(RETEST_PERIOD_S)
            results = await self._test_sample()
            if self.is_lost and sum(results) >= min(MIN_ACCEPTED, len(results)) > 0:
                self._restore()


def _call(listeners: Collection[Callable[[], None]]) -> None:
    for listener in listeners:
        listener()
