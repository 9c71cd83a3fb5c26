"""The last look before an order's bytes, taken away."""

from indigoworks.ownership.key_grant import KeyGrant
from indigoworks.ownership.order_outcome import OrderOutcome
from indigoworks.ownership.server_orders import MaySend
from indigoworks.servers.server_record import ServerRecord
from indigoworks_lab.control_simulation.node_orders import NodeOrders

_grant = NodeOrders.grant


async def look_before_connection(
    orders: NodeOrders,
    server: ServerRecord,
    grant: KeyGrant,
    timeout_s: float,
    _may_send: MaySend,
) -> OrderOutcome:
    """Grant without asking again once the connection has come about."""
    return await _grant(orders, server, grant, timeout_s, lambda: True)
