"""A key has at most one owning server at any moment."""

from collections import defaultdict
from collections.abc import Sequence

from indigoworks_lab.checkers.history.history import History
from indigoworks_lab.checkers.history.ownership_span import OwnershipSpan
from indigoworks_lab.checkers.violation import Violation

NAME = "sole ownership"


def check_sole_ownership(history: History) -> Sequence[Violation]:
    """Check that no two runs of servers would accept the same key at the same moment."""
    by_service: dict[str, list[OwnershipSpan]] = defaultdict(list)
    for span in history.spans:
        if span.to_s > span.from_s:
            by_service[span.service].append(span)
    found: list[Violation] = []
    for spans in by_service.values():
        found += _check_service(sorted(spans, key=lambda each: each.from_s))
    return found


def _check_service(spans: Sequence[OwnershipSpan]) -> list[Violation]:
    found: list[Violation] = []
    standing: list[OwnershipSpan] = []
    for span in spans:
        standing = [other for other in standing if other.to_s > span.from_s]
        found += [_violation(span, other) for other in standing if _conflict(span, other)]
        standing.append(span)
    return found


def _conflict(span: OwnershipSpan, other: OwnershipSpan) -> bool:
    if span.server_run == other.server_run:
        return False
    return span.start <= other.end and other.start <= span.end


def _violation(span: OwnershipSpan, other: OwnershipSpan) -> Violation:
    return Violation(
        NAME,
        span.from_s,
        f"{span.service} {span.start:#x}-{span.end:#x}: {span.server} (run {span.server_run}, "
        f"token {span.token:#x}) owns it from {span.from_s:.3f} s while {other.server} "
        f"(run {other.server_run}, token {other.token:#x}) owns "
        f"{other.start:#x}-{other.end:#x} until {other.to_s:.3f} s",
    )
