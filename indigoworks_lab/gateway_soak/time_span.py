"""A span of time."""

from dataclasses import dataclass


@dataclass(frozen=True)
class TimeSpan:
    """From `from_s` to `to_s`, in seconds of the event loop."""

    from_s: float
    to_s: float

    def touches(self, from_s: float, to_s: float) -> bool:
        """Tell whether any moment of the other span lies in this one."""
        return self.from_s <= to_s and from_s <= self.to_s
