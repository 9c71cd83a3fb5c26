"""Interfaces through which the administration API reads and changes a process's state."""

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
    """Members, servers and owners as a controller or a gateway knows them."""

    def status(self) -> ControlPlaneStatus:
        """Return role and progress of this process."""
        ...

    def state(self) -> ControlState:
        """Return the applied state: servers, ranges, settings."""
        ...

    def configuration(self) -> Configuration:
        """Return the members of the control group that are in contact."""
        ...

    def known_services(self) -> Collection[str]:
        """Return the names of the services in force."""
        ...

    def position_of(self, key: bytes) -> Result[int, AdminError]:
        """Return the position of a key in the key space; BadAdminRequest for an invalid key."""
        ...

    async def routers(self) -> Sequence[RouterPresence]:
        """Return the routers, or a gateway's peers, that were in contact recently."""
        ...

    async def drain_server(self, name: str) -> Result[None, AdminError]:
        """Drain a back end: it is assigned nothing new and hands over its ranges.

        A gateway refuses with MethodNotAllowed: its servers report themselves that they leave.
        """
        ...


class ControlPlane(OwnershipPlane, Protocol):
    """An OwnershipPlane that can also change the settings tree: a controller."""

    async def change_settings(self, change: SettingsChange) -> Result[SettingsAccepted, AdminError]:
        """Put a validated tree in force.

        :returns: InvalidSettings, SettingsConflict, ChangeIdReused, SettingsStoreUnavailable or
            NotLeader when nothing took effect; SettingsOutcomeUnknown when the change may have.
        """
        ...

    async def change_progress(self, change_id: str) -> Result[ChangeProgress, AdminError]:
        """Return the progress of an accepted change; UnknownChange if there is none."""
        ...
