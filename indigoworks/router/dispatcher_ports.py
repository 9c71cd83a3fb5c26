"""Dependencies shared by the dispatchers of a router."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from indigoworks.backend.backend_requests import BackendRequests
from indigoworks.common.clock import Clock
from indigoworks.router.range_loads import RangeLoads
from indigoworks.router.sent_requests import SentRequests


@dataclass(frozen=True)
class DispatcherPorts:
    """Dependencies of the dispatchers of a router.

    :ivar sent: ids of the non-repeatable requests that were sent.
    :ivar is_view_in_force: returns whether the lease of the router's view is currently valid.
    """

    clock: Clock
    backends: BackendRequests
    random: Random
    sent: SentRequests
    is_view_in_force: Callable[[], bool]
    loads: RangeLoads
