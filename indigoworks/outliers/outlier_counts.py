"""Counters of outlier ejection."""

from collections import Counter
from dataclasses import dataclass, field


@dataclass(slots=True)
class OutlierCounts:
    """Counters since the start of the process.

    :ivar faults: outcomes that counted against a server, by kind.
    """

    faults: Counter[str] = field(default_factory=Counter)
    ejections: int = 0
    trials: int = 0
