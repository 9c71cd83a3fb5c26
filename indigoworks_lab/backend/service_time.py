"""Seeded service times of a stand-in back end."""

import math
from random import Random

from indigoworks_lab.backend.stand_in_profile import StandInProfile

LONGEST_FACTOR = 20.0
"""No service time is longer than this many medians."""


class ServiceTime:
    """Draws service times: log-normal, longer while the server is cold."""

    def __init__(self, profile: StandInProfile, random: Random) -> None:
        self._profile = profile
        self._random = random
        self._drawn = 0

    def draw_s(self, slow_factor: float) -> float:
        """Return the service time of the next request, in seconds."""
        spread = math.exp(self._random.gauss(0.0, self._profile.service_sigma))
        factor = min(spread, LONGEST_FACTOR) * self._cold_factor() * slow_factor
        self._drawn += 1
        return self._profile.service_median_s * factor

    def _cold_factor(self) -> float:
        remaining = self._profile.cold_requests - self._drawn
        if remaining <= 0:
            return 1.0
        return 1.0 + (self._profile.cold_factor - 1.0) * remaining / self._profile.cold_requests
