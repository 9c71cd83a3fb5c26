"""Rate limits that servers name in their responses."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.common.limit_report import LimitReport
from indigoworks.servers.server_record import ServerRecord

GRANTED_SHARE = 0.75
"""Share of a server's limit that one broker grants. While gateways on two sides of a partition use
two brokers, these grant 1.5 times the limit together, which is the most that is allowed. Five
requests in 4 s are allowed beyond that, of which the two brokers' token buckets use four."""

MIN_GRANTED_PER_S = 0.2
"""Least rate that is granted: at a rate of 0 no response could show that the limit has ended. Five
requests in 4 s are allowed beyond a limit."""

DOUBT_S = 0.5
"""Time without a response that names a limit after which a response without it ends the limit:
responses overtake each other, and some kinds of responses may not name it."""

REPORT_ENDED_S = 10.0
"""Time for which peers are told that a limit has ended, and their older reports are ignored."""

CONFIRMED_S = 10.0
"""Time after which a limit that no response confirmed is ignored: it may have ended, while no
request went to the server."""


@dataclass(frozen=True, slots=True)
class _ReportedLimit:
    """A reported limit, and the clock reading of the report; see `LimitReport`."""

    per_s: float | None
    at_s: float


class ServerLimits:
    """The newest report on the limit of each server, whichever gateway received it.

    A limit bounds the total of all gateways, so a gateway that receives it reports it to the
    others. Of two reports the later one counts. A limit has no expiry of its own: it ends with
    responses that no longer name it, or with a new run of the server.

    :ivar on_change: called when a limit begins, ends or rises: waiting requests may then be sent
        elsewhere or sooner.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._reported: dict[str, _ReportedLimit] = {}
        self._limited = 0
        self.on_change: Callable[[], None] = _nothing

    # ---- changes ----

    def record(self, server: ServerRecord, per_s: float) -> None:
        """Record the limit that a server names in a response to this process."""
        self._set(server, per_s, self._clock.now(), is_from_peer=False)

    def record_no_limit(self, server: ServerRecord) -> None:
        """Record a response to this process that names no limit."""
        known = self._reported.get(server.server_id)
        now_s = self._clock.now()
        if known is None or (known.per_s is not None and now_s - known.at_s < DOUBT_S):
            return
        self._set(server, None, now_s, is_from_peer=False)

    def record_from_peer(self, server: ServerRecord, report: LimitReport) -> None:
        """Record the limit that a peer reports.

        A report must be newer than the known one by DOUBT_S: ages become inexact in transit, and
        two gateways would otherwise refresh each other's reports for ever.
        """
        known = self._reported.get(server.server_id)
        at_s = self._clock.now() - report.age_s
        if known is None and report.per_s is None:
            return
        if known is None or at_s > known.at_s + DOUBT_S:
            self._set(server, report.per_s, at_s, is_from_peer=True)

    def forget(self, server_id: str) -> None:
        """Remove a server that left, or an earlier run of one."""
        known = self._reported.pop(server_id, None)
        self._limited -= known is not None and known.per_s is not None

    def drop_ended(self) -> None:
        """Remove the limits that ended long ago."""
        earliest_s = self._clock.now() - REPORT_ENDED_S
        for server_id, known in list(self._reported.items()):
            if known.per_s is None and known.at_s < earliest_s:
                del self._reported[server_id]

    # ---- queries ----

    def has_any(self) -> bool:
        """Return whether any server names a limit: a cheap check before those of each server."""
        return self._limited > 0

    def has_reported(self) -> bool:
        """Return whether there is anything to report to peers."""
        return bool(self._reported)

    def is_known(self, server_id: str) -> bool:
        """Return whether a server's limit, or the end of one, is recorded."""
        return server_id in self._reported

    def per_s(self, server_id: str) -> float | None:
        """Return the limit of a server in requests a second; None: it names none."""
        known = self._reported.get(server_id)
        return None if known is None else known.per_s

    def granted_per_s(self, server_id: str) -> float | None:
        """Return the requests a second to grant to a server; None: it names no limit."""
        per_s = self.per_s(server_id)
        return None if per_s is None else max(GRANTED_SHARE * per_s, MIN_GRANTED_PER_S)

    def is_confirmed(self, server_id: str) -> bool:
        """Return whether the report on a server is younger than CONFIRMED_S."""
        known = self._reported.get(server_id)
        return known is not None and self._clock.now() - known.at_s < CONFIRMED_S

    def count(self) -> int:
        """Return the number of servers that name a limit."""
        return self._limited

    def by_server(self) -> dict[str, float]:
        """Return the limits by server, in requests a second, of the servers that name one."""
        return {
            each: known.per_s for each, known in self._reported.items() if known.per_s is not None
        }

    def reported_limits(self) -> Iterable[tuple[str, LimitReport]]:
        """Return the servers with the newest report on each."""
        now_s = self._clock.now()
        return [
            (server_id, LimitReport(known.per_s, max(0.0, now_s - known.at_s)))
            for server_id, known in self._reported.items()
        ]

    # ---- parts ----

    def _set(
        self, server: ServerRecord, per_s: float | None, at_s: float, is_from_peer: bool
    ) -> None:
        before = self.per_s(server.server_id)
        self._reported[server.server_id] = _ReportedLimit(per_s, at_s)
        self._limited += (per_s is not None) - (before is not None)
        if per_s is not None and before is None:
            log_message(
                message_type="server:names_limit",
                level="WARNING",
                server=server.server_id,
                service=server.service,
                limit_per_s=per_s,
                is_told_by_peer=is_from_peer,
            )
        if per_s is None and before is not None:
            log_message(
                message_type="server:limit_ended",
                server=server.server_id,
                service=server.service,
                is_told_by_peer=is_from_peer,
            )
        is_lower = before is not None and per_s is not None and per_s < before
        if per_s != before and not is_lower:
            self.on_change()


def _nothing() -> None:
    """Do nothing: the default listener."""
