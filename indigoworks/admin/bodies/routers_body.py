"""Body of the routers."""

from indigoworks.admin.bodies.body import Body
from indigoworks.admin.bodies.router_body import RouterBody


class RoutersBody(Body):
    """Routers that polled for a view recently, sorted by name."""

    routers: list[RouterBody]
