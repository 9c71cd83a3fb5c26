"""The settings under which a router forwarded a request."""

from dataclasses import dataclass


@dataclass(frozen=True)
class SettingsUse:
    """A router sent a request to a back end under a version of the settings."""

    at_s: float
    router: str
    router_run: int
    version: int
    change_id: str
