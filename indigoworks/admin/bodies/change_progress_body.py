"""Body of the progress of a settings change."""

from indigoworks.admin.bodies.body import Body


class ChangeProgressBody(Body):
    """An accepted change and the number of routers that have it in force."""

    change_id: str
    version: int
    routers_total: int
    routers_in_force: int
    is_everywhere: bool
