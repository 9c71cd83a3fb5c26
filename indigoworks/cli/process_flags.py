"""Flags of the commands that run a process."""

from collections.abc import Mapping
from dataclasses import dataclass
from random import Random, SystemRandom

from result import Err, Ok, Result

from indigoworks.cli.errors import Misuse, as_misuse
from indigoworks.cli.flag_values import optional_number, optional_text
from indigoworks.settings.load_process_settings import ProcessSettingsT, load_process_settings

SEED_BITS = 64


@dataclass(frozen=True)
class ProcessFlags:
    """The flags of the command line, not validated yet.

    :ivar settings: path of the settings file, or None.
    :ivar seed: seed of the random number generator, or None.
    :ivar fields: values of the process settings by field name; None: not given.
    """

    settings: str | None
    seed: str | None
    fields: Mapping[str, object]

    def load(self, model: type[ProcessSettingsT]) -> Result[ProcessSettingsT, Misuse]:
        """Return the process settings from the settings file and the flags."""
        path = optional_text("--settings", self.settings)
        if isinstance(path, Err):
            return path
        for name, value in self.fields.items():
            checked = optional_text(f"--{name.replace('_', '-')}", value)
            if isinstance(checked, Err):
                return checked
        return load_process_settings(model, path.unwrap(), self.fields).map_err(as_misuse)

    def random(self) -> Result[Random, Misuse]:
        """Return the random number generator."""
        seed = optional_number("--seed", self.seed)
        if isinstance(seed, Err):
            return seed
        given = seed.unwrap()
        return Ok(Random(SystemRandom().getrandbits(SEED_BITS) if given is None else given))
