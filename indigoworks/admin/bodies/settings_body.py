"""Body of the settings tree in force."""

from typing import Any

from indigoworks.admin.bodies.body import Body


class SettingsBody(Body):
    """The settings tree in force.

    :ivar version: 0 if no tree has been accepted yet.
    :ivar change_id: change that created the version.
    :ivar tree: None if no tree has been accepted yet.
    """

    version: int
    change_id: str
    tree: dict[str, Any] | None
