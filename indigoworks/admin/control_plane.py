"""What the administration API needs of a process of the system."""

from collections.abc import Collection, Sequence
from typing import Protocol

from result import Result

from indigoworks.admin.change_progress import ChangeProgress
from indigoworks.admin.control_plane_status import ControlPlaneStatus
from indigoworks.admin.errors import AdminError
from indigoworks.admin.router_presence import RouterPresence
from indigoworks.admin.settings_accepted import SettingsAccepted
from indigoworks.admin.settings_change import SettingsChange
from indigoworks.wire.control_pb2 import Configuration, ControlState


class OwnershipPlane(Protocol):
    """What a controller or a gateway tells of members, servers and owners."""

    def status(self) -> ControlPlaneStatus:
        """Return role and progress of this process."""
        ...

    def state(self) -> ControlState:
        """Return the applied state: servers, ranges, settings."""
        ...

    def configuration(self) -> Configuration:
        """Return the members of the control group that are in touch."""
        ...

    def known_services(self) -> Collection[str]:
        """Return the names of the services in force."""
        ...

    def position_of(self, key: bytes) -> Result[int, AdminError]:
        """Return the place of a key in the key space; BadAdminRequest where it can have none."""
        ...

    async def routers(self) -> Sequence[RouterPresence]:
        """Return the processes that forward requests and were heard lately."""
        ...

    async def drain_server(self, name: str) -> Result[None, AdminError]:
        """Empty a back end: it gets nothing new and hands its ranges over."""
        ...


class ControlPlane(OwnershipPlane, Protocol):
    """A process at which the settings tree can be changed as well: a controller."""

    async def change_settings(self, change: SettingsChange) -> Result[SettingsAccepted, AdminError]:
        """Put a checked tree in force.

        :returns: SettingsConflict, ChangeIdReused, SettingsStoreUnavailable or NotLeader when
            nothing took effect; SettingsOutcomeUnknown when it may have.
        """
        ...

    async def change_progress(self, change_id: str) -> Result[ChangeProgress, AdminError]:
        """Return how far an accepted change has come; UnknownChange when there is none."""
        ...
