"""Decides which servers are ejected from their service, and when they come back."""

from collections.abc import Callable, Collection, Iterable, Sequence
from random import Random

from eliot import log_message

from indigoworks.common.attempt_verdict import AttemptVerdict
from indigoworks.common.clock import Clock
from indigoworks.exchange.server_evidence import ServerEvidence
from indigoworks.exchange.server_load import server_checksum
from indigoworks.exchange.shared_evidence import SharedEvidence, merge_shared
from indigoworks.outliers.ejected_server import (
    MAX_EJECTION_S,
    MAX_PROOFS,
    MIN_PROOFS,
    OWNER_TRIAL_SHARE,
    TRIAL_PERIOD_S,
    TRIAL_SHARE,
    EjectedServer,
)
from indigoworks.outliers.evidence_table import EvidenceTable
from indigoworks.outliers.failure_rule import is_failing
from indigoworks.outliers.outlier_counts import OutlierCounts
from indigoworks.outliers.outlier_log import log_decision
from indigoworks.outliers.service_bounds import ServiceBounds
from indigoworks.servers.server_record import ServerRecord
from indigoworks.servers.server_source import ServerSource

FLAPPING_S = 10.0
"""A server that is ejected again within this time of its return needs twice as many proofs."""

MIN_RETRY_AFTER_S = 0.1
"""Shortest time to come back for a request whose owner is ejected."""


class OutlierDetector:
    """Counts outcomes of servers, ejects those that fail, and tries them again.

    It has no timer: it decides when an outcome or a report arrives, or a request is placed. It
    keeps nothing while no server fails.

    :param own: checksum of this process in reports.
    :param group_size: returns how many processes decide for themselves, and share the trials.
    :ivar on_change: called when a server was ejected or came back.
    :ivar counts: counters for the metrics page.
    """

    def __init__(
        self,
        own: int,
        servers: ServerSource,
        clock: Clock,
        random: Random,
        group_size: Callable[[], int] = lambda: 1,
    ) -> None:
        self._servers = servers
        self._clock = clock
        self._random = random
        self._group_size = group_size
        self._table = EvidenceTable(own, clock)
        self._bounds = ServiceBounds(clock)
        self._ejected: dict[str, EjectedServer] = {}
        self._returned: dict[str, tuple[float, int]] = {}
        self.on_change: Callable[[], None] = _nothing
        self.counts = OutlierCounts()

    # ---- outcomes ----

    def record(
        self, server: ServerRecord, verdict: AttemptVerdict, caller: int, begun_s: float
    ) -> None:
        """Record an outcome of this process.

        :param caller: checksum of the caller.
        :param begun_s: clock reading at which the request was sent.
        """
        ejected = self._ejected.get(server.server_id)
        if ejected is not None:
            self._record_trial(server.server_id, ejected, verdict, caller, begun_s)
        elif verdict.is_fault:
            self.counts.faults[verdict.name.lower()] += 1
            self._table.record(server_checksum(server.server_id), verdict, caller, begun_s)
            self._judge(server)
        elif verdict is AttemptVerdict.GOOD and self._table:
            checksum = server_checksum(server.server_id)
            if self._table.has(checksum):
                self._table.record(checksum, verdict, caller, begun_s)

    def apply_shared(
        self, entries: Sequence[SharedEvidence], listed: Iterable[ServerRecord]
    ) -> None:
        """Apply what peers saw of servers of the list."""
        if not entries:
            return
        by_checksum = {server_checksum(each.server_id): each for each in listed}
        for entry in entries:
            server = by_checksum.get(entry.server)
            if server is None:
                continue
            ejected = self._ejected.get(server.server_id)
            if ejected is None:
                self._table.record_shared(entry)
                self._judge(server)
            else:
                self._take_proof(server.server_id, ejected, entry)

    def shared(self) -> tuple[SharedEvidence, ...]:
        """Return what this process saw of servers that had faults, for its reports."""
        return merge_shared(self._table.own_entries()) if self._table else ()

    def drop_old(self) -> None:
        """Drop evidence that no longer counts, and servers that have left."""
        self._table.drop_old()
        now_s = self._clock.now()
        for server_id, (at_s, _) in list(self._returned.items()):
            if now_s - at_s > FLAPPING_S:
                del self._returned[server_id]
        for server_id, ejected in list(self._ejected.items()):
            if self._servers.get(server_id) is None:
                del self._ejected[server_id]
            elif now_s - ejected.since_s > MAX_EJECTION_S:
                self._return(server_id, "time")

    # ---- placement ----

    def has_any(self) -> bool:
        """Return whether any server is ejected."""
        return bool(self._ejected)

    def ejected(self) -> Collection[str]:
        """Return the ids of the ejected servers."""
        return self._ejected.keys()

    def is_ejected(self, server_id: str) -> bool:
        """Return whether a server is ejected."""
        return server_id in self._ejected

    def is_on_probation(self, server_id: str) -> bool:
        """Return whether a server came back from an ejection recently."""
        return server_id in self._returned

    def without_ejected(self, servers: list[ServerRecord]) -> list[ServerRecord]:
        """Return the servers that are not ejected; all of them if that would leave none."""
        if not self._ejected:
            return servers
        return [each for each in servers if each.server_id not in self._ejected] or servers

    def trial(self, servers: Sequence[ServerRecord]) -> ServerRecord | None:
        """Return an ejected server that a repeatable request is to try now, or None."""
        return self._try_one(servers, TRIAL_SHARE) if self._ejected else None

    def refuses(self, owner: ServerRecord, is_repeatable: bool) -> bool:
        """Return whether a request for a key is refused because its owner is ejected.

        An owner that serves some requests gets all of them: nobody else can serve its keys.
        """
        if not self._ejected:
            return False
        ejected = self._ejected.get(owner.server_id)
        if ejected is None or not ejected.is_total:
            return False
        return not is_repeatable or self._try_one([owner], OWNER_TRIAL_SHARE) is None

    def retry_after_s(self, server_id: str) -> float:
        """Return after which time a request for a key of an ejected owner may be served."""
        ejected = self._ejected.get(server_id)
        left_s = 0.0 if ejected is None else ejected.next_trial_s - self._clock.now()
        return max(MIN_RETRY_AFTER_S, min(left_s, 1.0))

    def _try_one(self, servers: Sequence[ServerRecord], share: float) -> ServerRecord | None:
        now_s = self._clock.now()
        for server in servers:
            ejected = self._ejected.get(server.server_id)
            if ejected is not None and ejected.may_try(now_s, self._random.random(), share):
                ejected.start_trial(now_s, TRIAL_PERIOD_S * self._group_size())
                self.counts.trials += 1
                return server
        return None

    # ---- decisions ----

    def _judge(self, server: ServerRecord) -> None:
        """Eject a server that fails, within the bounds of its service."""
        evidence = self._evidence(server.server_id)
        if not is_failing(evidence):
            return
        usable = list(self._servers.usable(server.service))
        with_faults = sum(1 for each in usable if self._evidence(each.server_id).faults)
        is_widespread = with_faults > len(usable) / 2
        failing = [each for each in usable if self._is_failing(each.server_id)]
        ejected = [each for each in usable if each.server_id in self._ejected]
        decision = self._bounds.decide(server.service, len(usable), len(failing), len(ejected))
        if decision.is_whole:
            for each in ejected:
                self._return(each.server_id, "service")
        if decision.may_eject:
            if is_failing(evidence, is_widespread):
                self._eject(server, evidence, len(ejected) + 1, len(usable))
        elif decision.is_told:
            log_decision("outlier:withheld", server, evidence, len(ejected), len(usable))

    def _is_failing(self, server_id: str) -> bool:
        return server_id in self._ejected or is_failing(self._evidence(server_id))

    def _evidence(self, server_id: str) -> ServerEvidence:
        since_s, _ = self._returned.get(server_id, (float("-inf"), 0))
        return self._table.total(server_checksum(server_id), since_s)

    def _eject(
        self, server: ServerRecord, evidence: ServerEvidence, ejected: int, servers: int
    ) -> None:
        now_s = self._clock.now()
        returned_s, needed = self._returned.pop(server.server_id, (float("-inf"), 0))
        is_flapping = now_s - returned_s <= FLAPPING_S
        self._ejected[server.server_id] = EjectedServer(
            server.service,
            now_s,
            is_total=not evidence.good,
            needed=min(MAX_PROOFS, 2 * needed) if is_flapping else MIN_PROOFS,
            next_trial_s=now_s + TRIAL_PERIOD_S,
        )
        self.counts.ejections += 1
        log_decision("outlier:ejected", server, evidence, ejected, servers)
        self.on_change()

    def _record_trial(
        self,
        server_id: str,
        ejected: EjectedServer,
        verdict: AttemptVerdict,
        caller: int,
        begun_s: float,
    ) -> None:
        checksum = server_checksum(server_id)
        if begun_s < ejected.since_s:
            return
        if verdict.is_fault:
            self.counts.faults[verdict.name.lower()] += 1
            ejected.record_fault()
            self._table.record(checksum, verdict, caller, begun_s)
        elif verdict is AttemptVerdict.GOOD:
            if not ejected.proofs:
                self._table.restart(checksum)
            self._table.record(checksum, verdict, caller, begun_s)
            if ejected.record_good():
                self._return(server_id, "trials")
        else:
            ejected.trial_until_s = float("-inf")

    def _take_proof(self, server_id: str, ejected: EjectedServer, entry: SharedEvidence) -> None:
        """Take good responses that a peer got since the ejection as proofs.

        At a server that serves some of its requests anyway they say less: they only allow this
        process trials of its own.
        """
        at_s = self._clock.now() - entry.age_s
        if entry.evidence.faults or not entry.evidence.good or at_s <= ejected.since_s:
            return
        proofs = min(entry.evidence.good, ejected.needed) if ejected.is_total else 1
        ejected.proofs = max(ejected.proofs, proofs)
        if ejected.is_total and ejected.proofs >= ejected.needed:
            self._return(server_id, "peer")

    def _return(self, server_id: str, reason: str) -> None:
        ejected = self._ejected.pop(server_id)
        now_s = self._clock.now()
        self._returned[server_id] = now_s, ejected.needed
        log_message(
            message_type="outlier:returned",
            server=server_id,
            service=ejected.service,
            reason=reason,
            ejected_for_s=round(now_s - ejected.since_s, 3),
            trials=ejected.trials,
            proofs=ejected.proofs,
        )
        self.on_change()


def _nothing() -> None:
    """Default of a callback until it is set."""
