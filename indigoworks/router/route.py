"""Route of one attempt of a request."""

from dataclasses import dataclass

from indigoworks.common.ring.range_assignment import RangeAssignment
from indigoworks.router.router_peer import RouterPeer
from indigoworks.router.routing_view import RoutingView
from indigoworks.router.server_record import ServerRecord


@dataclass(frozen=True)
class Route:
    """Owner of the key in a view, and the router that dispatches to it.

    :ivar peer: the dispatching router; None if it is this one.
    """

    view: RoutingView
    assignment: RangeAssignment
    server: ServerRecord
    peer: RouterPeer | None
