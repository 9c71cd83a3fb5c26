"""Body of the settings tree in force."""

from typing import Any

from indigoworks.admin.bodies.body import Body


class SettingsBody(Body):
    """The tree in force.

    :ivar version: 0 where no tree has been accepted yet.
    :ivar change_id: change that made the version.
    :ivar tree: None where no tree has been accepted yet.
    """

    version: int
    change_id: str
    tree: dict[str, Any] | None
