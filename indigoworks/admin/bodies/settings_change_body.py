"""Body of a settings change."""

from typing import Annotated, Any

from pydantic import Field, StringConstraints

from indigoworks.admin.bodies.body import Body

ChangeId = Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9._-]{1,64}$")]


class SettingsChangeBody(Body):
    """Body of PUT /settings.

    :ivar change_id: chosen by the client; unique for each change.
    :ivar expected_version: version that the tree is based on; may be sent as If-Match instead.
    :ivar tree: the whole new tree.
    """

    change_id: ChangeId
    expected_version: Annotated[int, Field(ge=0, strict=True)] | None = None
    tree: dict[str, Any]
