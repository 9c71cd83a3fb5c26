"""What an exhaustive search found."""

from dataclasses import dataclass


@dataclass(frozen=True)
class SearchResult:
    """Schedules that were run, and the first violation.

    :ivar is_exhausted: every schedule within the bound was run.
    """

    schedules: int
    is_exhausted: bool
    violation: str
