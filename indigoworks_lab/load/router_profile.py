"""Processor time of a router by part, out of a profile."""

import pstats
from collections import defaultdict
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

from pydantic import BaseModel, ConfigDict

from indigoworks_lab.load.profile_part import BUILT_IN_FILE, FunctionKey, ProfilePart, part_of

TOP_FUNCTIONS = 25
US_PER_S = 1_000_000

FunctionStats = tuple[int, int, float, float, dict[FunctionKey, tuple[int, int, float, float]]]
"""Primitive calls, calls, own seconds, seconds with callees, and the same by caller."""


class RouterProfile(BaseModel):
    """Microseconds and calls per request, as the profiler sees them.

    :ivar parts: own time by part, without waiting. A built-in function counts where it is called.
    :ivar functions: own time of the functions with the most of it, by name.
    :ivar calls: calls of functions per request; alike in every run of the same code and load.
    """

    model_config = ConfigDict(frozen=True)

    parts: dict[str, float]
    functions: dict[str, float]
    calls: float

    @classmethod
    def read(cls, file: Path, requests: int) -> "RouterProfile":
        """Return the profile in `file` of a process that had `requests` requests."""
        stats: Any = pstats.Stats(str(file))
        return cls.of(stats.stats, requests)

    @classmethod
    def of(cls, stats: Mapping[FunctionKey, FunctionStats], requests: int) -> "RouterProfile":
        """Return the profile of `stats`, which cover `requests` requests."""
        parts: defaultdict[str, float] = defaultdict(float)
        functions: defaultdict[str, float] = defaultdict(float)
        calls = 0
        for function, values in stats.items():
            if part_of(function) is ProfilePart.IDLE:
                continue
            calls += values[1]
            for part, own_s in _charged(function, values):
                parts[part.value] += own_s * US_PER_S / requests
                functions[f"{part.value}: {_name(function)}"] += own_s * US_PER_S / requests
        return cls(
            parts=dict(_largest_first(parts)),
            functions=dict(_largest_first(functions)[:TOP_FUNCTIONS]),
            calls=calls / requests,
        )

    def as_text(self) -> str:
        """Return the figures as a table."""
        total_us = sum(self.parts.values())
        lines = [f"{total_us:8.0f} us and {self.calls:.0f} calls per request, under the profiler"]
        lines += [f"{us:8.1f} us {us / total_us:6.1%}  {part}" for part, us in self.parts.items()]
        lines.append("own time by function:")
        lines += [f"{us:8.1f} us  {name}" for name, us in self.functions.items()]
        return "\n".join(lines)


def _largest_first(times_us: Mapping[str, float]) -> list[tuple[str, float]]:
    return sorted(times_us.items(), key=lambda item: -item[1])


def _charged(function: FunctionKey, values: FunctionStats) -> Iterator[tuple[ProfilePart, float]]:
    part = part_of(function)
    if function[0] != BUILT_IN_FILE or part is not ProfilePart.OTHER:
        yield part, values[2]
        return
    for caller, by_caller in values[4].items():
        yield part_of(caller), by_caller[2]


def _name(function: FunctionKey) -> str:
    file, line, name = function
    if file == BUILT_IN_FILE:
        return name
    return f"{'/'.join(Path(file).parts[-2:])}:{line} {name}"
