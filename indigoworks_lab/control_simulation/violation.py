"""A rule that a run broke."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Violation:
    """What a checker found, with the true time."""

    checker: str
    at_s: float
    text: str

    def __str__(self) -> str:
        return f"[{self.at_s:.3f}] {self.checker}: {self.text}"
