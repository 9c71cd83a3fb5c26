"""Shows that a broken rule is found, and that the sound rule passes on the same seed."""

from dataclasses import dataclass

from indigoworks_lab.control_simulation.broken_control_rule import BrokenControlRule
from indigoworks_lab.control_simulation.run_control_seed import run_control_seed

MOST_SEEDS = 30
"""Seeds that are tried. Changes of the product shift which seed meets the fault."""


@dataclass(frozen=True)
class ControlCatch:
    """What catching one broken rule showed.

    :ivar seed: seed that caught it; None: none of MOST_SEEDS did.
    :ivar found: what the checker found there.
    :ivar sound_found: what was found there with the sound rule; must be empty.
    """

    seed: int | None
    found: str
    sound_found: tuple[str, ...]

    @property
    def is_shown(self) -> bool:
        """Tell whether the rule was caught and the sound one passed."""
        return self.seed is not None and not self.sound_found


def control_catch(broken: BrokenControlRule) -> ControlCatch:
    """Look for a seed on which the rule's own checker finds the fault."""
    for seed in range(1, MOST_SEEDS + 1):
        with broken.rule.applied():
            report = run_control_seed(seed, broken.plan)
        found = report.found(broken.checker)
        if not found:
            continue
        sound = run_control_seed(seed, broken.plan)
        sound_found = (*map(str, sound.violations), *sound.failures)
        return ControlCatch(seed, str(found[0]), sound_found)
    return ControlCatch(None, "", ())
