"""One rule of the control code with a fault put in, and the run that shows it."""

from collections.abc import Callable
from dataclasses import dataclass

from indigoworks_lab.control_simulation.control_plan import ControlPlan
from indigoworks_lab.control_simulation.drawn_fault import DrawnFault
from indigoworks_lab.control_simulation.fault_kind import FaultKind
from indigoworks_lab.simulation.broken_rules.broken_rule import BrokenRule, Replacement


@dataclass(frozen=True)
class BrokenControlRule:
    """A broken rule with the plan of faults under which it shows.

    :ivar checker: the checker that must find it.
    """

    rule: BrokenRule
    plan: ControlPlan
    checker: str


def broken_control_rule(
    name: str,
    text: str,
    checker: str,
    replacements: Callable[[], list[Replacement]],
    *faults: tuple[FaultKind, float, float],
    nodes: int = 3,
    servers: int = 4,
    forgets_releases: bool = False,
) -> BrokenControlRule:
    """Return a broken rule; `faults` are kind, start and duration in seconds."""
    rule = BrokenRule(name, text, replacements, "", (checker,))
    drawn = tuple(DrawnFault(*fault) for fault in faults)
    plan = ControlPlan(nodes, servers, drawn, forgets_releases=forgets_releases)
    return BrokenControlRule(rule, plan, checker)
