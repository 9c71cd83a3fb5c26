"""Body of the back ends."""

from indigoworks.admin.bodies.body import Body
from indigoworks.admin.bodies.server_body import ServerBody


class ServersBody(Body):
    """The registered back ends, sorted by name."""

    servers: list[ServerBody]
