"""A period in which a server answers no orders."""

from dataclasses import dataclass, field

from indigoworks.ownership.log_throttle import LogThrottle


@dataclass(slots=True)
class ServerSilence:
    """Orders that a server left unanswered since its last answer.

    :ivar began_s: clock reading at which the first of them was sent.
    :ivar counts: their number by kind.
    """

    began_s: float
    throttle: LogThrottle
    counts: dict[str, int] = field(default_factory=dict)

    def add(self, kind: str) -> int | None:
        """Count an order; returns the count for a log line that is due, or None: none is due."""
        self.counts[kind] = self.counts.get(kind, 0) + 1
        return self.throttle.count_event()
