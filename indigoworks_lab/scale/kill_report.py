"""When back ends were killed and when their leases end."""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True)
class KillReport:
    """Readings of the machine's clock.

    :ivar killed_s: when the first was killed.
    :ivar lease_ends_s: end of the lease of each, by name.
    """

    killed_s: float
    lease_ends_s: Mapping[str, float]
