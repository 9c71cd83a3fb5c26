"""One level in the inheritance of settings."""

from dataclasses import dataclass

from indigoworks.settings.overrides import Overrides


@dataclass(frozen=True)
class SettingsLevel:
    """The values that a level sets, and its path in the tree."""

    path: str
    overrides: Overrides
