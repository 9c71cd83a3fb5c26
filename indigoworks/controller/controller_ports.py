"""External dependencies of a controller."""

from dataclasses import dataclass

from indigoworks.backend.backend_control import BackendControl
from indigoworks.common.clock import Clock
from indigoworks.platform.machine_list import MachineList
from indigoworks.platform.object_store import ObjectStore
from indigoworks.platform.table_store import TableStore


@dataclass(frozen=True)
class ControllerPorts:
    """Interfaces to everything outside the control group; the lab simulates each of them."""

    clock: Clock
    table: TableStore
    objects: ObjectStore
    machines: MachineList
    backends: BackendControl
