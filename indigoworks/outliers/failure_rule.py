"""The rule by which counted outcomes show that a server fails."""

from indigoworks.exchange.server_evidence import MANY_CALLERS, NO_CALLER, ServerEvidence

INVALID_WEIGHT = 3.9
"""Logarithm of how much likelier an invalid response is at a server that fails half of its requests
than at one that fails 1 in 100."""

ERROR_WEIGHT = 3.2
"""The same for a 5xx, of which healthy servers answer up to 0.4 in 100, in bursts more."""

BROKEN_WEIGHT = 2.4
"""The same for a connection that broke off: full servers reset connections as well."""

GOOD_WEIGHT = 0.68
"""What a good response takes from the sum: logarithm of 0.99 / 0.5."""

BROKEN_PER_GOOD = 8
"""Broken connections that each good response excuses: a full server resets connections, or leaves
requests without an answer, while it serves those on its slots. In a simulated overload, 60 callers
at 24 slots, full servers reset three connections for each request that they served."""

THRESHOLD = 11.0
"""Sum from which a server counts as failing: three invalid responses, four errors or five broken
connections in a row. At a share of 0.4 in 100 honest errors, four in a row come once in 4e9."""


WIDESPREAD_FACTOR = 2.0
"""Factor on the threshold while more than half of a service's servers have faults: then errors are
usual there, or the load is too high, and chance alone reaches the threshold now and then."""


def failure_score(evidence: ServerEvidence) -> float:
    """Return how much speaks for a failing server, at most 0 for a healthy one."""
    broken = max(0, evidence.broken - BROKEN_PER_GOOD * evidence.good)
    faults = INVALID_WEIGHT * evidence.invalid + ERROR_WEIGHT * evidence.error
    return faults + BROKEN_WEIGHT * broken - GOOD_WEIGHT * evidence.good


def is_failing(evidence: ServerEvidence, is_widespread: bool = False) -> bool:
    """Return whether the server fails, and not the requests of one caller alone.

    :param is_widespread: more than half of the servers of its service have faults.
    """
    threshold = THRESHOLD * WIDESPREAD_FACTOR if is_widespread else THRESHOLD
    return failure_score(evidence) >= threshold and not _blames_caller(evidence)


def _blames_caller(evidence: ServerEvidence) -> bool:
    """Return whether only one caller had faults while others were served."""
    if evidence.fault_caller == MANY_CALLERS or evidence.good_caller == NO_CALLER:
        return False
    return evidence.good_caller != evidence.fault_caller
