"""A change of the settings tree requested by an operator."""

from dataclasses import dataclass


@dataclass(frozen=True)
class SettingsChange:
    """A complete new tree that replaces the version it is based on.

    :ivar change_id: chosen by the operator's client; a retry with the same id is the same change.
    :ivar expected_version: version that the change is based on; 0: there is no tree yet.
    :ivar tree: canonical JSON of the validated tree.
    """

    change_id: str
    expected_version: int
    tree: bytes
