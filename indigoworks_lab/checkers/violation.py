"""A broken promise found in a history."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Violation:
    """What a checker found.

    :ivar checker: name of the checker.
    :ivar at_s: true time at which the promise was broken, in seconds.
    :ivar text: what happened, with the names needed to find it in the run.
    """

    checker: str
    at_s: float
    text: str

    def __str__(self) -> str:
        return f"[{self.checker}] at {self.at_s:.3f} s: {self.text}"
