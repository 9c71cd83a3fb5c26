"""Outcomes at one server since a fault."""

from collections.abc import Iterable
from dataclasses import dataclass

from indigoworks.common.attempt_verdict import AttemptVerdict

NO_CALLER = 0
MANY_CALLERS = 1
"""Values in place of a caller's checksum."""


@dataclass(frozen=True, slots=True)
class ServerEvidence:
    """Counts of outcomes, from one gateway or summed over several.

    :ivar fault_caller: checksum of the only caller of the faults; or NO_CALLER or MANY_CALLERS.
    :ivar good_caller: the same of the good responses.
    """

    broken: int = 0
    error: int = 0
    invalid: int = 0
    good: int = 0
    fault_caller: int = NO_CALLER
    good_caller: int = NO_CALLER

    @property
    def faults(self) -> int:
        """Return the number of faults of any kind."""
        return self.broken + self.error + self.invalid

    def with_outcome(self, verdict: AttemptVerdict, caller: int) -> "ServerEvidence":
        """Return the counts with one more outcome."""
        return ServerEvidence(
            self.broken + (verdict is AttemptVerdict.BROKEN),
            self.error + (verdict is AttemptVerdict.ERROR),
            self.invalid + (verdict is AttemptVerdict.INVALID),
            self.good + (verdict is AttemptVerdict.GOOD),
            _merge(self.fault_caller, caller) if verdict.is_fault else self.fault_caller,
            self.good_caller if verdict.is_fault else _merge(self.good_caller, caller),
        )


def sum_evidence(parts: Iterable[ServerEvidence]) -> ServerEvidence:
    """Return the sum of the evidence of several gateways."""
    total = ServerEvidence()
    for each in parts:
        total = ServerEvidence(
            total.broken + each.broken,
            total.error + each.error,
            total.invalid + each.invalid,
            total.good + each.good,
            _merge(total.fault_caller, each.fault_caller),
            _merge(total.good_caller, each.good_caller),
        )
    return total


def _merge(known: int, caller: int) -> int:
    if known in (NO_CALLER, caller):
        return caller
    return known if caller == NO_CALLER else MANY_CALLERS
