"""External dependencies of a router."""

from dataclasses import dataclass

from indigoworks.backend.backend_requests import BackendRequests
from indigoworks.common.clock import Clock
from indigoworks.platform.machine_list import MachineList
from indigoworks.platform.object_store import ObjectStore


@dataclass(frozen=True)
class RouterPorts:
    """Clock, the platform's machine list and object store, and access to the back ends."""

    clock: Clock
    machines: MachineList
    backends: BackendRequests
    objects: ObjectStore
