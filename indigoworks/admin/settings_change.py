"""A change of the settings tree that an operator asks for."""

from dataclasses import dataclass


@dataclass(frozen=True)
class SettingsChange:
    """A whole new tree, to replace the version that the operator started from.

    :ivar change_id: chosen by the operator's client; a repeat under the same id is the same change.
    :ivar expected_version: version that the change is based on; 0: there is no tree yet.
    :ivar tree: canonical JSON of the checked tree.
    """

    change_id: str
    expected_version: int
    tree: bytes
