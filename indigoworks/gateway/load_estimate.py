"""Rule by which servers are compared from counts that are some time old.

Pure functions: each takes the age of what others reported. Without age (a broker's own counts, a
gateway without peers) the rule is the least expected time.
"""

from math import exp

BUSY_FACTOR = 2.0
"""Weight of the probability that all slots are taken, in service times. 1 gave 435 of 1,000
arrivals beyond slots where 2 gave 352 (docs/design/even-load.md)."""

OVERFLOW_FACTOR = 3.0
"""Cost of a slot that is not assigned to this gateway, in mean service times. With 1.6, while one
server after the other was three times slower, a request waited beside an idle slot in 0.676 of the
moments; with 3 in 0.463."""

HOLD_PROBABILITY = 0.35
"""A request is held while all slots of the best server are taken with a higher probability. With
0.5 twice as many arrivals found all slots taken at a load of 0.8."""

HOLD_FACTOR = 2.0
"""Longest hold in mean service times. With 3 the 99th percentile of callers was later."""

EXACT_POWER = 40
"""Power of `certainty` with which the newest count decides by itself: only while it is some
milliseconds old. With 4 all gateways chose by the same count more often, and 0.222 instead of 0.169
of the arrivals were beyond slots at a load of 0.8."""


def certainty(age_s: float, service_s: float) -> float:
    """Return the share of reported requests that still run: 1 for a new report, towards 0."""
    return 1.0 if age_s <= 0 else exp(-age_s / service_s)


def expected_requests(reported: float, usual: float, certain: float) -> float:
    """Return the requests that others are expected to have at a server now.

    :param usual: their mean count there: what ended is replaced by what they usually send.
    :param certain: result of `certainty`.
    """
    return usual + (reported - usual) * certain


def busy_probability(own: int, reported: int, expected: float, slots: int, certain: float) -> float:
    """Return the probability that all slots of a server are taken.

    A certain count decides by itself; otherwise the requests of others follow the Poisson
    distribution with mean `expected`.
    """
    left = slots - own
    if left <= 0:
        return 1.0
    is_full = 1.0 if reported >= left else 0.0
    if certain >= 1.0:
        return is_full
    term = total = exp(-expected)
    for count in range(1, left):
        term *= expected / count
        total += term
    exact = certain**EXACT_POWER
    return exact * is_full + (1 - exact) * max(0.0, 1 - total)


def least_expected_time_s(in_flight: float, slots: int, service_s: float) -> float:
    """Return the cost of a server whose requests in flight are known, in seconds."""
    waiting = max(0.0, in_flight + 1 - slots)
    return service_s * (1 + waiting / slots) * (1 + in_flight / slots)


def stale_cost_s(in_flight: float, slots: int, service_s: float, busy: float) -> float:
    """Return the cost of a server whose requests in flight are estimated, in seconds.

    :param busy: result of `busy_probability`.
    """
    waiting = max(0.0, in_flight + 1 - slots)
    return service_s * (1 + BUSY_FACTOR * busy + waiting / slots)


def cost_s(
    own: int, reported: int, usual: float, age_s: float, slots: int, service_s: float
) -> float:
    """Return the cost of sending one more request to a server, in seconds.

    :param own: requests in flight from here: exact and new.
    :param reported: requests of others, `age_s` ago; `usual`: their mean count there.
    """
    certain = certainty(age_s, service_s)
    known_s = least_expected_time_s(own + reported, slots, service_s)
    if certain >= 1.0:
        return known_s
    expected = expected_requests(reported, usual, certain)
    busy = busy_probability(own, reported, expected, slots, certain)
    estimated_s = stale_cost_s(own + expected, slots, service_s, busy)
    exact = certain**EXACT_POWER
    return exact * known_s + (1 - exact) * estimated_s
