"""The leader's side of the quorum lease."""

from collections.abc import Iterable

from indigoworks.consensus.consensus_timing import ConsensusTiming


def lease_duration_s(timing: ConsensusTiming) -> float:
    """Return how long a leader may rely on a promise, from before it sent the request.

    The follower's clock may run fast and the leader's slow, so the bound counts twice.
    """
    return timing.quorum_lease_s * (1 - 2 * timing.clock_drift_ratio)


def confirmed_since_s(confirmations_s: Iterable[float], quorum: int) -> float:
    """Return the reading since which a majority supports the leader.

    :param confirmations_s: per voter the leader's clock before it sent the newest request that
        the voter took; the leader itself included.
    :param quorum: how many voters make a majority.
    :returns: minus infinity where fewer than `quorum` have ever taken a request.
    """
    newest_first = sorted(confirmations_s, reverse=True)
    if len(newest_first) < quorum:
        return float("-inf")
    return newest_first[quorum - 1]
