"""One rule with a fault put in."""

from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from enum import Enum
from typing import Any
from unittest.mock import patch


class ShownBy(Enum):
    """Where a broken rule is shown to be found."""

    SEEDS = "seeds"
    SEARCH = "exhaustive search"
    """The window is too narrow for seeds; see features/simulation_bounded.feature."""

    NOTHING = "nothing"
    """Another rule covers for it in every run so far; see docs/design/proof.md."""


@dataclass(frozen=True)
class Replacement:
    """An attribute of a class or module, and what stands in its place while the rule is broken."""

    owner: Any
    attribute: str
    value: Any


@dataclass(frozen=True)
class BrokenRule:
    """A named fault in one rule.

    :ivar text: what the broken rule does.
    :ivar replacements: makes the replacements; called once per run.
    :ivar plan_name: the named run in which the fault shows.
    :ivar checkers: names of the checkers that must find it.
    :ivar seed: a seed from which on one is known to meet the fault.
    :ivar shown_by: where the fault is shown to be found.
    """

    name: str
    text: str
    replacements: Callable[[], list[Replacement]]
    plan_name: str
    checkers: tuple[str, ...]
    seed: int = 1
    shown_by: ShownBy = ShownBy.SEEDS

    def applied(self) -> ExitStack:
        """Return a context within which the rule is broken."""
        stack = ExitStack()
        for each in self.replacements():
            stack.enter_context(patch.object(each.owner, each.attribute, each.value))
        return stack
