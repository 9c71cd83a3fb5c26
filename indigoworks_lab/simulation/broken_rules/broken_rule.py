"""One rule with a fault put in."""

from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from typing import Any
from unittest.mock import patch


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
    """

    name: str
    text: str
    replacements: Callable[[], list[Replacement]]
    plan_name: str = "mixed"

    def applied(self) -> ExitStack:
        """Return a context within which the rule is broken."""
        stack = ExitStack()
        for each in self.replacements():
            stack.enter_context(patch.object(each.owner, each.attribute, each.value))
        return stack
