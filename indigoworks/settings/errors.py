"""Errors of settings files and settings trees."""

from dataclasses import dataclass
from typing import ClassVar

from indigoworks.common.errors import IndigoworksError
from indigoworks.settings.settings_problem import SettingsProblem


@dataclass(frozen=True)
class SettingsError(IndigoworksError):
    """Base of the errors of settings."""

    kind: ClassVar[str] = "settings"


@dataclass(frozen=True)
class InvalidSettings(SettingsError):
    """Settings that were refused as a whole; none of them takes effect.

    :ivar problems: every fault that was found, each with its path and remedy.
    """

    problems: tuple[SettingsProblem, ...] = ()

    kind: ClassVar[str] = "invalid_settings"

    @classmethod
    def from_problems(
        cls, subject: str, problems: tuple[SettingsProblem, ...]
    ) -> "InvalidSettings":
        """Return the error that lists all `problems` of `subject`, such as "settings tree"."""
        faults = "; ".join(f"{each.path}: {each.message}" for each in problems)
        remedies = " ".join(dict.fromkeys(each.remedy for each in problems))
        return cls(f"Invalid {subject}: {faults}.", remedies, problems=problems)


@dataclass(frozen=True)
class SettingsFileUnreadable(SettingsError):
    """A settings file does not exist or cannot be read."""

    kind: ClassVar[str] = "settings_file_unreadable"
