"""Body of the routers."""

from indigoworks.admin.bodies.body import Body
from indigoworks.admin.bodies.router_body import RouterBody


class RoutersBody(Body):
    """Routers that polled recently, or peers of a gateway that reported recently, by name."""

    routers: list[RouterBody]
