"""Administration API operations on a controller's replicated state."""

from collections.abc import Callable, Collection, Sequence

from result import Err, Ok, Result

from indigoworks.admin.change_progress import ChangeProgress
from indigoworks.admin.control_plane_status import ControlPlaneStatus
from indigoworks.admin.errors import AdminError, NotLeader, UnknownChange, UnknownServer
from indigoworks.admin.router_presence import RouterPresence
from indigoworks.admin.settings_accepted import SettingsAccepted
from indigoworks.admin.settings_change import SettingsChange
from indigoworks.common.lease_bounds import VIEW_LEASE_LAPSE_S
from indigoworks.common.ring.key_hash import key_hash
from indigoworks.controller.control_state import ReplicatedControlState
from indigoworks.controller.leader_tasks import LeaderTasks
from indigoworks.controller.retry_timing import LEADER_RETRY_AFTER_S
from indigoworks.controller.router_registry import RouterRegistry
from indigoworks.controllog.control_log_node import ControlLogNode
from indigoworks.settings.settings_tree import SettingsTree
from indigoworks.wire.control_pb2 import (
    SERVER_STATE_LEAVING,
    Command,
    Configuration,
    ControlState,
    SetServerState,
)


class ControllerControlPlane:
    """Implements ControlPlane; changes are accepted only while this controller leads."""

    def __init__(
        self,
        node: ControlLogNode,
        state: ReplicatedControlState,
        routers: RouterRegistry,
        leader_tasks: Callable[[], LeaderTasks | None],
    ) -> None:
        """Create the control plane.

        :param leader_tasks: returns the leader's tasks, or None while this controller doesn't
            lead.
        """
        self._node = node
        self._state = state
        self._routers = routers
        self._leader_tasks = leader_tasks

    def status(self) -> ControlPlaneStatus:
        """Return the role and log progress of this controller."""
        status = self._node.status
        return ControlPlaneStatus(
            member=status.member,
            role=status.role.name.lower(),
            generation=status.generation,
            term=status.term,
            leader=status.leader,
            commit_index=status.commit_index,
        )

    def state(self) -> ControlState:
        """Return the applied state."""
        return self._state.to_message()

    def configuration(self) -> Configuration:
        """Return the controllers that are in contact with the leader."""
        return self._node.status.configuration

    def known_services(self) -> Collection[str]:
        """Return the names of the services in the tree in force."""
        content = self._state.to_message().settings_tree
        return SettingsTree.model_validate_json(content).services if content else ()

    def position_of(self, key: bytes) -> Result[int, AdminError]:
        """Return the position (hash) of the key in the key space."""
        return Ok(key_hash(key))

    async def change_settings(self, change: SettingsChange) -> Result[SettingsAccepted, AdminError]:
        """Put a validated settings tree in force."""
        leader_tasks = self._leader_tasks()
        if leader_tasks is None:
            return Err(_not_leader())
        return await leader_tasks.settings.change(change)

    async def change_progress(self, change_id: str) -> Result[ChangeProgress, AdminError]:
        """Return how many routers have applied an accepted change."""
        version = self._state.version_of_change(change_id)
        if version is None:
            return Err(
                UnknownChange(
                    f"No accepted change has the id {change_id}.",
                    "Send the change again under the same id.",
                )
            )
        # A router whose last poll is older than its view lease has stopped forwarding.
        serving = [each for each in await self.routers() if each.since_poll_s < VIEW_LEASE_LAPSE_S]
        in_force = sum(1 for each in serving if each.settings_version >= version)
        # A router may poll a controller that this one cannot reach, so only the time since the
        # change proves that every router has applied it or stopped forwarding.
        is_everywhere = self._state.settings_age_s() >= VIEW_LEASE_LAPSE_S
        return Ok(ChangeProgress(change_id, version, len(serving), in_force, is_everywhere))

    async def routers(self) -> Sequence[RouterPresence]:
        """Return the routers that polled for a view recently."""
        return self._routers.presences()

    async def drain_server(self, name: str) -> Result[None, AdminError]:
        """Mark a server as leaving, so that its ranges are handed over."""
        server = self._state.server(name)
        if server is None:
            return Err(
                UnknownServer(
                    f"No server is named {name}.", "List the servers with `indigoworks status`."
                )
            )
        change = SetServerState(
            server_name=name, incarnation=server.incarnation, state=SERVER_STATE_LEAVING
        )
        proposed = await self._node.propose(Command(set_server_state=change))
        return Ok(None) if proposed.is_ok() else Err(_not_leader())


def _not_leader() -> NotLeader:
    return NotLeader(
        "This controller is not the leader.",
        "Send the request again after the time given; any node forwards it to the leader.",
        LEADER_RETRY_AFTER_S,
    )
