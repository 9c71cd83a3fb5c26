"""Body of the response to an accepted drain."""

from indigoworks.admin.bodies.body import Body


class DrainBody(Body):
    """The back end that is being drained."""

    server: str
    is_draining: bool = True
