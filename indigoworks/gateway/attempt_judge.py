"""Decides what each attempt of a request says about its server."""

import zlib
from collections.abc import Callable
from functools import lru_cache

from indigoworks.common.attempt_verdict import AttemptVerdict
from indigoworks.common.clock import Clock
from indigoworks.gateway.client_request import ClientRequest
from indigoworks.gateway.request_state import RequestState
from indigoworks.gateway.server_response import BROKEN, OUT_OF_REACH, ExchangeResult, ServerResponse
from indigoworks.gateway.server_stats import RequestStart, ServerStats
from indigoworks.outliers.request_marks import RequestMarks
from indigoworks.reach.path_monitor import PathMonitor
from indigoworks.servers.server_record import ServerRecord
from indigoworks.servers.server_source import ServerSource

FAILED_STATUS = 500
TIMED_OUT_STATUS = 504
REFUSING_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses which guarantee that the request has not run and never will."""

DEADLINE_MARGIN_S = 0.1
"""Time before the deadline from which a server may answer that the deadline has passed."""

MIN_SILENCE_S = 0.5
"""Time without an answer from which silence may be a fault, and not a deadline that was short."""

USUAL_TIMES = 4
"""The same, as a multiple of the usual time of a request at the service."""

MIN_ANSWER_GAP_S = 0.2
"""Time after an answer of a server for which a missing one is taken for a sign of load: a full
server goes on with those on its slots. Reports of the requests in flight are too old to tell."""

ANSWER_GAP_TIMES = 2
"""The same, as a multiple of the usual time of a request at the service."""

OTHERS_VALID_S = 1.0
"""Age up to which the answer of another server shows that this gateway has a path to servers."""


class AttemptJudge:
    """Tells faults of a server from those of the request, of the caller, and of the way there.

    A full server resets connections or never answers, so these count only while no more requests
    are in flight there, from all gateways, than it has slots, and it has not just answered others.
    A server that ends breaks all connections at once: of those that break off only one that was
    begun after the last counts.

    :ivar is_on_probation: returns whether a server has failed recently, so that a missing answer is
        likelier to be a fault than a sign of load.
    """

    def __init__(
        self, server_stats: ServerStats, servers: ServerSource, path: PathMonitor, clock: Clock
    ) -> None:
        self._server_stats = server_stats
        self._servers = servers
        self._path = path
        self._clock = clock
        self._marks = RequestMarks(clock)
        self._signing: set[str] = set()
        self._broken_s: dict[str, float] = {}
        self.is_on_probation: Callable[[str], bool] = lambda server_id: False

    def judge(
        self,
        state: RequestState,
        server: ServerRecord,
        response: ServerResponse,
        started: RequestStart,
    ) -> AttemptVerdict:
        """Return the verdict on an attempt that has just ended."""
        verdict = self._verdict(state, server, response, started)
        if verdict is AttemptVerdict.GOOD:
            if self._marks:
                self._marks.record_good(_mark(state.request))
        elif verdict.is_fault and not self._marks.record_fault(
            _mark(state.request), server.server_id
        ):
            return AttemptVerdict.NEUTRAL
        return verdict

    def forget(self, server_id: str) -> None:
        """Drop what is known of a server that left."""
        self._broken_s.pop(server_id, None)

    def _verdict(
        self,
        state: RequestState,
        server: ServerRecord,
        response: ServerResponse,
        started: RequestStart,
    ) -> AttemptVerdict:
        if response.result is ExchangeResult.ANSWERED:
            return self._verdict_on_answer(state, server, response)
        if response.result is ExchangeResult.LOST:
            if response.detail == OUT_OF_REACH:
                return AttemptVerdict.NEUTRAL
            if response.detail != BROKEN:
                return AttemptVerdict.INVALID
            return self._verdict_on_break(server, started)
        if response.result is ExchangeResult.SILENT:
            return self._verdict_on_silence(server, started)
        return AttemptVerdict.NEUTRAL

    def _verdict_on_answer(
        self, state: RequestState, server: ServerRecord, response: ServerResponse
    ) -> AttemptVerdict:
        status = response.status
        if response.is_not_run or status in REFUSING_STATUSES:
            return AttemptVerdict.NEUTRAL
        if status >= FAILED_STATUS:
            is_due = self._clock.now() >= state.deadline_s - DEADLINE_MARGIN_S
            is_late = status == TIMED_OUT_STATUS and is_due
            return AttemptVerdict.NEUTRAL if is_late else AttemptVerdict.ERROR
        if status >= 300:
            return AttemptVerdict.NEUTRAL
        if response.is_signed:
            self._signing.add(server.service)
        elif server.service in self._signing:
            return AttemptVerdict.INVALID
        return AttemptVerdict.GOOD

    def _verdict_on_break(self, server: ServerRecord, started: RequestStart) -> AttemptVerdict:
        if not self._is_servers_own(server, started):
            return AttemptVerdict.NEUTRAL
        last_s = self._broken_s.get(server.server_id, float("-inf"))
        if started.at_s < last_s:
            return AttemptVerdict.NEUTRAL
        self._broken_s[server.server_id] = self._clock.now()
        return AttemptVerdict.BROKEN

    def _verdict_on_silence(self, server: ServerRecord, started: RequestStart) -> AttemptVerdict:
        usual_s = self._server_stats.mean_service_time_s(server.service)
        silent_s = self._clock.now() - started.at_s
        if silent_s < max(MIN_SILENCE_S, USUAL_TIMES * usual_s):
            return AttemptVerdict.NEUTRAL
        is_own = self._is_servers_own(server, started)
        return AttemptVerdict.BROKEN if is_own else AttemptVerdict.NEUTRAL

    def _is_servers_own(self, server: ServerRecord, started: RequestStart) -> bool:
        """Return whether neither load nor this gateway's path explains a missing answer."""
        usual_s = self._server_stats.mean_service_time_s(server.service)
        answered_s = self._server_stats.last_response_s(server.server_id)
        gap_s = max(MIN_ANSWER_GAP_S, ANSWER_GAP_TIMES * usual_s)
        is_working = self._clock.now() - answered_s < gap_s
        if is_working and not self.is_on_probation(server.server_id):
            return False
        in_flight = self._server_stats.in_flight(server.server_id)
        if started.rounds > 1 or in_flight > server.slots:
            return False
        if self._path.is_lost or not self._servers.is_usable(server.server_id):
            return False
        since_s = self._clock.now() - OTHERS_VALID_S
        return self._server_stats.has_other_answered(server.server_id, since_s)


@lru_cache(maxsize=1024)
def caller_checksum(caller: str) -> int:
    """Return the checksum of a caller, above the values that stand for none and several."""
    return zlib.crc32(caller.encode("utf-8", "surrogateescape")) | 2


def _mark(request: ClientRequest) -> int:
    """Return a hash that is the same for the same request of the same caller."""
    return hash((request.caller, request.method, request.host, request.target, request.body))
