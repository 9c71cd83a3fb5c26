"""Shows that a broken rule is found, and that the sound rule passes on the same seed."""

from dataclasses import dataclass

from indigoworks_lab.simulation.broken_rules.broken_rule import BrokenRule
from indigoworks_lab.simulation.plans import PLANS
from indigoworks_lab.simulation.run_seed import run_seed

MOST_SEEDS = 30
"""Seeds that are tried, from the remembered one on. A change of the product shifts which seed
meets the fault, so a remembered seed alone would say little after it."""


@dataclass(frozen=True)
class Catch:
    """What catching one broken rule showed.

    :ivar seed: seed that caught it; None if none of MOST_SEEDS did.
    :ivar found: what the checker found there.
    :ivar sound_found: what was found on the same seed with the sound rule; must be empty.
    """

    rule: str
    plan: str
    seed: int | None
    seeds_tried: int
    found: str
    sound_found: tuple[str, ...]

    @property
    def is_shown(self) -> bool:
        """Tell whether the rule was caught and the sound one passed."""
        return self.seed is not None and not self.sound_found


def catch(rule: BrokenRule) -> Catch:
    """Look for a seed on which the rule's own checker finds the fault."""
    plan = PLANS[rule.plan_name]
    for seed in range(rule.seed, rule.seed + MOST_SEEDS):
        with rule.applied():
            report = run_seed(seed, plan)
        found = [each for each in report.violations if each.checker in rule.checkers]
        if not found:
            continue
        sound = run_seed(seed, plan)
        sound_found = (*(str(each) for each in sound.violations), *sound.failures)
        tried = seed - rule.seed + 1
        return Catch(rule.name, rule.plan_name, seed, tried, str(found[0]), sound_found)
    return Catch(rule.name, rule.plan_name, None, MOST_SEEDS, "", ())
