"""One level of the inheritance of settings."""

from dataclasses import dataclass

from indigoworks.settings.overrides import Overrides


@dataclass(frozen=True)
class SettingsLevel:
    """What a level sets, and its path in the tree."""

    path: str
    overrides: Overrides
