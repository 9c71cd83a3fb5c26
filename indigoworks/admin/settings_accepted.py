"""An accepted change of the settings tree."""

from dataclasses import dataclass


@dataclass(frozen=True)
class SettingsAccepted:
    """A change that is durable and in the log.

    :ivar version: version of the tree that the change created.
    """

    change_id: str
    version: int
