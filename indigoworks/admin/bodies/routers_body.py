"""Body of the routers."""

from indigoworks.admin.bodies.body import Body
from indigoworks.admin.bodies.router_body import RouterBody


class RoutersBody(Body):
    """Routers that asked for a view lately, sorted by name."""

    routers: list[RouterBody]
