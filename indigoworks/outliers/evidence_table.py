"""Evidence on servers, from this process and its peers."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from indigoworks.common.attempt_verdict import AttemptVerdict
from indigoworks.common.clock import Clock
from indigoworks.exchange.server_evidence import ServerEvidence, sum_evidence
from indigoworks.exchange.shared_evidence import SharedEvidence
from indigoworks.outliers.failure_rule import THRESHOLD, failure_score

EVIDENCE_VALID_S = 3.0
"""Time after the newest fault for which evidence counts. A gateway that sends a server a request
each 18 s adds to what others saw within this time."""

MAX_KEPT_GOODS = 2
"""Good responses kept from an ended count: more would delay the next ejection."""

SHARED_ERROR_SCORE = 0.75 * THRESHOLD
"""Score from which errors alone are reported: about three in a row at one gateway."""

MIN_BREAK_S = 0.4
"""Time from the first fault of a count before broken connections count: within it those who got the
slots of a full server hear of the fault, get answers, and report them."""

TRANSIT_S = 0.05
"""By how much the age of one outcome differs between reports, which take different times."""


@dataclass(slots=True)
class _Seen:
    """Evidence of one gateway; `at_s`: clock reading of its newest fault, or if it has none of its
    start: without faults elsewhere it ends, so that two gateways do not keep it up for ever.

    :ivar began_s: clock reading of its start.
    :ivar is_proof: it counts trials of an ejected server.
    """

    evidence: ServerEvidence
    at_s: float
    began_s: float = float("-inf")
    is_proof: bool = False


class EvidenceTable:
    """Keeps a count of outcomes for each server that had a fault, and none for others.

    The count of this process begins with a fault, or when a peer tells of one, and ends as soon as
    it speaks for a healthy server.

    :param own: checksum of this process among the tellers.
    """

    def __init__(self, own: int, clock: Clock) -> None:
        self._own = own
        self._clock = clock
        self._seen: dict[int, dict[int, _Seen]] = {}

    def __bool__(self) -> bool:
        """Return whether there is any evidence."""
        return bool(self._seen)

    def _counted(self, seen: _Seen) -> ServerEvidence:
        """Return what a gateway saw, without broken connections until they have lasted."""
        if seen.evidence.broken and self._clock.now() - seen.began_s < MIN_BREAK_S:
            return replace(seen.evidence, broken=0)
        return seen.evidence

    def has(self, server: int) -> bool:
        """Return whether there is evidence on a server."""
        return server in self._seen

    def record(self, server: int, verdict: AttemptVerdict, caller: int, begun_s: float) -> None:
        """Record an outcome of this process.

        A good response to a request that began before the count says nothing of the time since.

        :param begun_s: clock reading at which the request was sent.
        """
        now_s = self._clock.now()
        by_teller = self._seen.setdefault(server, {})
        known = by_teller.get(self._own)
        is_over = known is not None and now_s - known.at_s > EVIDENCE_VALID_S
        # Proofs were counted for the return, and do not excuse what the server does since.
        if known is None or is_over or (known.is_proof and verdict.is_fault):
            known = by_teller[self._own] = _Seen(ServerEvidence(), now_s, now_s)
        if verdict is AttemptVerdict.GOOD and begun_s < known.began_s:
            return
        known.evidence = known.evidence.with_outcome(verdict, caller)
        if verdict.is_fault:
            known.at_s = now_s
        if known.evidence.faults and failure_score(known.evidence) <= 0:
            self._end_own(server, known.evidence)

    def _end_own(self, server: int, evidence: ServerEvidence) -> None:
        """End the count of this process; where peers have faults, go on with some of the good
        responses, which excuse theirs."""
        by_teller = self._seen[server]
        del by_teller[self._own]
        if not by_teller:
            del self._seen[server]
        elif evidence.good:
            now_s = self._clock.now()
            good = min(evidence.good, MAX_KEPT_GOODS)
            kept = ServerEvidence(good=good, good_caller=evidence.good_caller)
            by_teller[self._own] = _Seen(kept, now_s, now_s)

    def restart(self, server: int) -> None:
        """Begin the count of this process anew, and forget that of peers."""
        seen = _Seen(ServerEvidence(), self._clock.now(), is_proof=True)
        self._seen[server] = {self._own: seen}

    def record_shared(self, entry: SharedEvidence) -> None:
        """Record what a peer saw; an older entry than the known one is ignored."""
        at_s = self._clock.now() - entry.age_s
        if entry.teller == self._own or entry.age_s > EVIDENCE_VALID_S:
            return
        if not entry.evidence.faults and entry.server not in self._seen:
            return
        by_teller = self._seen.setdefault(entry.server, {})
        known = by_teller.get(entry.teller)
        if known is None or at_s >= known.at_s - TRANSIT_S:
            is_same = known is not None and known.evidence.faults
            began_s = known.began_s if known is not None and is_same else self._clock.now()
            by_teller[entry.teller] = _Seen(entry.evidence, at_s, began_s)

    def total(self, server: int, since_s: float) -> ServerEvidence:
        """Return the evidence of all tellers whose newest outcome is younger than `since_s`.

        After a recent return (`since_s` is finite) broken connections count at once: the server
        has failed before, so that a fault is likelier than load.
        """
        now_s = self._clock.now()
        earliest_s = max(since_s, now_s - EVIDENCE_VALID_S)
        seen = self._seen.get(server, {}).values()
        is_suspect = since_s > float("-inf")
        return sum_evidence(
            each.evidence if is_suspect else self._counted(each)
            for each in seen
            if each.at_s > earliest_s
        )

    def own_entries(self) -> Iterable[SharedEvidence]:
        """Return what this process saw, for its reports."""
        now_s = self._clock.now()
        for server, by_teller in self._seen.items():
            known = by_teller.get(self._own)
            if known is None:
                continue
            evidence = known.evidence
            if (len(by_teller) > 1 and evidence.faults + evidence.good) or _is_worth_sharing(
                evidence
            ):
                yield SharedEvidence(server, self._own, now_s - known.at_s, evidence)

    def drop_old(self) -> None:
        """Drop evidence that no longer counts."""
        earliest_s = self._clock.now() - EVIDENCE_VALID_S
        for server in list(self._seen):
            by_teller = self._seen[server]
            for teller in [each for each, seen in by_teller.items() if seen.at_s < earliest_s]:
                del by_teller[teller]
            if not by_teller:
                del self._seen[server]


def _is_worth_sharing(evidence: ServerEvidence) -> bool:
    """Return whether peers should know: single errors are common at healthy servers."""
    if evidence.broken or evidence.invalid or (evidence.good and not evidence.faults):
        return True
    return failure_score(evidence) >= SHARED_ERROR_SCORE
