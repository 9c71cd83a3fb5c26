"""Checks one log line for reasons to doubt an ownership transfer."""

from collections.abc import Iterator, Sequence

from indigoworks.owners_story.ownership_doubt import OwnershipDoubt
from indigoworks.owners_story.ownership_doubt_kind import OwnershipDoubtKind
from indigoworks.ownership.leader_lease import LEADER_LEASE_S
from indigoworks.request_story.log_line import LogLine

RANGE_PASSED = "range:passed"

BOUND_PROOFS = ("own_bound", "predecessor_bound", "no_bound")


def doubts_of(line: LogLine) -> Sequence[OwnershipDoubt]:
    """Return the doubts about a line on a transfer, old leadership proof or replaced server."""
    if line.message_type == RANGE_PASSED:
        return [*_bound_doubts(line), *_transfer_doubts(line), *_leader_doubts(line)]
    if line.message_type == "order:old_proof":
        return list(_leader_doubts(line))
    if line.message_type == "server:replaced" and not line.fields.get("by"):
        return [OwnershipDoubt(OwnershipDoubtKind.UNNAMED_SERVER, "no replacing server is named")]
    return ()


def _bound_doubts(line: LogLine) -> Iterator[OwnershipDoubt]:
    proof = line.fields.get("proof")
    if proof not in BOUND_PROOFS:
        return
    for bound in ("own", "predecessor"):
        left_s = _number(line, f"{bound}_left_s")
        if left_s is not None and left_s > 0:
            yield OwnershipDoubt(
                OwnershipDoubtKind.BOUND_RUNS, f"by {proof}, {bound} bound has {left_s} s left"
            )


def _transfer_doubts(line: LogLine) -> Iterator[OwnershipDoubt]:
    if line.fields.get("proof") == "none":
        yield OwnershipDoubt(OwnershipDoubtKind.NO_PROOF, "the former owner was not ruled out")
    unanswered = _number(line, "unanswered")
    if unanswered:
        oldest_s = line.fields.get("oldest_unanswered_s")
        yield OwnershipDoubt(
            OwnershipDoubtKind.ORDER_UNANSWERED,
            f"{unanswered:g} unanswered, the oldest {oldest_s} s ago",
        )


def _leader_doubts(line: LogLine) -> Iterator[OwnershipDoubt]:
    age_s, state = _number(line, "proof_age_s"), line.fields.get("proof_state")
    if age_s is None or age_s > LEADER_LEASE_S or state != "leads":
        yield OwnershipDoubt(OwnershipDoubtKind.OLD_PROOF, f"proof of {age_s} s, state {state}")


def _number(line: LogLine, name: str) -> float | None:
    value = line.fields.get(name)
    return float(value) if isinstance(value, (int, float)) else None
