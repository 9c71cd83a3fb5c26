"""Servers that name a limit in their answers, and what it is."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.common.limit_word import LimitWord
from indigoworks.servers.server_record import ServerRecord

PASSED_SHARE = 0.75
"""Share of a limit that its broker passes on. While gateways that hear different peers ask two
brokers, these pass on one and a half times the limit together: what the users allow beside five
requests in 4 s, of which the two buckets take four."""

MIN_PASSED_PER_S = 0.2
"""So many requests a second are passed on at least: with a limit of 0 nobody would learn that it
has ended. The users allow five requests in 4 s."""

DOUBT_S = 0.5
"""An answer without a limit ends it only if none named it for so long: answers overtake each other,
and some kinds of answers may not name it."""

TOLD_ENDED_S = 10.0
"""For so long after a limit has ended peers are told, and their older words are passed over."""

CONFIRMED_S = 10.0
"""A word that nobody has heard again for so long says nothing of the server now: it may have ended
since, and no request has gone there."""


@dataclass(frozen=True, slots=True)
class _Heard:
    """A word, and the clock reading at which a server said it; see `LimitWord`."""

    per_s: float | None
    at_s: float


class ServerLimits:
    """The newest word of each server, whichever gateway heard it.

    A limit bounds the sum of all gateways, so whoever is told of it tells the others. Of two words
    the later one holds. A limit has no end of its own: answers that name it no more end it, and so
    does a new life of the server.

    :ivar on_change: called when a limit begins, ends or rises: what waits may go elsewhere or
        sooner.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._heard: dict[str, _Heard] = {}
        self._limited = 0
        self.on_change: Callable[[], None] = _nothing

    # ---- changes ----

    def record(self, server: ServerRecord, per_s: float) -> None:
        """Take the limit that a server names in an answer to this process."""
        self._set(server, per_s, self._clock.now(), is_told=False)

    def record_no_limit(self, server: ServerRecord) -> None:
        """Take an answer to this process that names no limit."""
        known = self._heard.get(server.server_id)
        now_s = self._clock.now()
        if known is None or (known.per_s is not None and now_s - known.at_s < DOUBT_S):
            return
        self._set(server, None, now_s, is_told=False)

    def record_from_peer(self, server: ServerRecord, word: LimitWord) -> None:
        """Take what a peer knows.

        A word must be newer than the known one by DOUBT_S: ages grow inexact on their way, and two
        gateways would make each other's words younger for ever.
        """
        known = self._heard.get(server.server_id)
        at_s = self._clock.now() - word.age_s
        if known is None and word.per_s is None:
            return
        if known is None or at_s > known.at_s + DOUBT_S:
            self._set(server, word.per_s, at_s, is_told=True)

    def forget(self, server_id: str) -> None:
        """Forget a server that left, or an earlier life of one."""
        known = self._heard.pop(server_id, None)
        self._limited -= known is not None and known.per_s is not None

    def drop_ended(self) -> None:
        """Forget the limits that ended long ago."""
        earliest_s = self._clock.now() - TOLD_ENDED_S
        for server_id, known in list(self._heard.items()):
            if known.per_s is None and known.at_s < earliest_s:
                del self._heard[server_id]

    # ---- questions ----

    def has_any(self) -> bool:
        """Tell whether any server names a limit: a quick look that spares the one at each."""
        return self._limited > 0

    def has_reported(self) -> bool:
        """Tell whether there is anything to tell peers."""
        return bool(self._heard)

    def is_known(self, server_id: str) -> bool:
        """Tell whether an answer of the server without a limit is news."""
        return server_id in self._heard

    def per_s(self, server_id: str) -> float | None:
        """Return the requests a second that a server takes; None: it names no limit."""
        known = self._heard.get(server_id)
        return None if known is None else known.per_s

    def passed_per_s(self, server_id: str) -> float | None:
        """Return the requests a second that are passed on to a server; None: it names no limit."""
        per_s = self.per_s(server_id)
        return None if per_s is None else max(PASSED_SHARE * per_s, MIN_PASSED_PER_S)

    def is_confirmed(self, server_id: str) -> bool:
        """Tell whether a server's word is younger than CONFIRMED_S."""
        known = self._heard.get(server_id)
        return known is not None and self._clock.now() - known.at_s < CONFIRMED_S

    def count(self) -> int:
        """Return how many servers name a limit."""
        return self._limited

    def by_server(self) -> dict[str, float]:
        """Return the requests a second that servers take, of those that name a limit."""
        return {each: known.per_s for each, known in self._heard.items() if known.per_s is not None}

    def reported_limits(self) -> Iterable[tuple[str, LimitWord]]:
        """Return the servers with the newest word of each."""
        now_s = self._clock.now()
        return [
            (server_id, LimitWord(known.per_s, max(0.0, now_s - known.at_s)))
            for server_id, known in self._heard.items()
        ]

    # ---- parts ----

    def _set(self, server: ServerRecord, per_s: float | None, at_s: float, is_told: bool) -> None:
        before = self.per_s(server.server_id)
        self._heard[server.server_id] = _Heard(per_s, at_s)
        self._limited += (per_s is not None) - (before is not None)
        if per_s is not None and before is None:
            log_message(
                message_type="server:names_limit",
                level="WARNING",
                server=server.server_id,
                service=server.service,
                limit_per_s=per_s,
                is_told_by_peer=is_told,
            )
        if per_s is None and before is not None:
            log_message(
                message_type="server:limit_ended",
                server=server.server_id,
                service=server.service,
                is_told_by_peer=is_told,
            )
        is_lower = before is not None and per_s is not None and per_s < before
        if per_s != before and not is_lower:
            self.on_change()


def _nothing() -> None:
    """Stand in until somebody wants to know."""
