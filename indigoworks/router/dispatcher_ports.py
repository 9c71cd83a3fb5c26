"""What the dispatchers of one router share."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from indigoworks.backend.backend_requests import BackendRequests
from indigoworks.common.clock import Clock
from indigoworks.router.range_loads import RangeLoads
from indigoworks.router.sent_requests import SentRequests


@dataclass(frozen=True)
class DispatcherPorts:
    """Ports of the dispatchers of one router.

    :ivar is_view_in_force: tells whether the router may act upon its view at this moment.
    """

    clock: Clock
    backends: BackendRequests
    random: Random
    sent: SentRequests
    is_view_in_force: Callable[[], bool]
    loads: RangeLoads
