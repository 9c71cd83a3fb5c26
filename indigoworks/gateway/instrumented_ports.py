"""Platform ports whose calls have metrics."""

from dataclasses import replace

from indigoworks.common.clock import Clock
from indigoworks.common.metrics import Metrics
from indigoworks.gateway.instrumented_orders import InstrumentedOrders
from indigoworks.gateway.instrumented_store import InstrumentedStore
from indigoworks.gateway.platform_ports import PlatformPorts


def instrument_ports(ports: PlatformPorts, metrics: Metrics, clock: Clock) -> PlatformPorts:
    """Return the same ports with metrics on the calls to the store and to servers."""
    return replace(
        ports,
        store=InstrumentedStore(ports.store, metrics, clock),
        orders=InstrumentedOrders(ports.orders, metrics, clock),
    )
