"""One change of the settings that an operator asked for."""

from dataclasses import dataclass


@dataclass
class SettingsChangeCall:
    """A change as its operator saw it.

    :ivar status: HTTP status of the answer; 0 while there is none.
    :ivar version: version that the answer named; 0 if it named none.
    """

    change_id: str
    expected_version: int
    asked_s: float
    answered_s: float | None = None
    status: int = 0
    version: int = 0

    @property
    def is_accepted(self) -> bool:
        """Tell whether the operator was told that the change is accepted."""
        return self.status in (200, 202)
