"""A control plane of one process for the tests of the administration API and the command line."""

from result import Err, Ok

from indigoworks.admin import (
    ChangeProgress,
    ControlPlaneStatus,
    RouterPresence,
    SettingsAccepted,
)
from indigoworks.admin.errors import (
    SettingsConflict,
    SettingsOutcomeUnknown,
    SettingsStoreUnavailable,
    UnknownChange,
    UnknownServer,
)
from indigoworks.admin.settings_difference import settings_difference
from indigoworks.common.ring.key_hash import key_hash
from indigoworks.settings import parse_tree
from indigoworks.settings.settings_tree import SettingsTree
from indigoworks.wire.control_pb2 import (
    SERVER_STATE_LIVE,
    Configuration,
    ControlState,
    Member,
    RangeRecord,
    Server,
)

MIDDLE = 2**63
TOKEN = 7


class FakeControlPlane:
    """Takes changes as a leader does, in memory; `failure` makes the next change fail."""

    def __init__(self):
        self.member = Member(name="controller-a", incarnation="c1", zone="zone-a")
        self.control_state = ControlState(last_index=41)
        self.changes = {}
        self.failure = None
        self.drained = []
        self.version_of_slow_router = None

    def add_server(self, service, name):
        server = Server(name=name, incarnation=f"{name}-1", service=service, slots=2)
        server.state = SERVER_STATE_LIVE
        self.control_state.servers.append(server)

    def add_halves(self, service, first, second):
        for owner, start, end in ((first, 0, MIDDLE - 1), (second, MIDDLE, 2**64 - 1)):
            record = RangeRecord(service=service, start=start, end=end, owner=owner, token=TOKEN)
            record.owner_incarnation = f"{owner}-1"
            self.control_state.ranges.append(record)

    def put_tree(self, content, change_id="first"):
        self.control_state.settings_version += 1
        self.control_state.settings_change_id = change_id
        self.control_state.settings_tree = content
        self.changes[change_id] = self.control_state.settings_version

    def status(self):
        return ControlPlaneStatus(self.member, "leader", 1, 3, self.member, 41)

    def state(self):
        return self.control_state

    def configuration(self):
        return Configuration(voters=[self.member], learners=[Member(name="controller-b")])

    def known_services(self):
        content = self.control_state.settings_tree
        return SettingsTree.model_validate_json(content).services if content else ()

    def position_of(self, key):
        return Ok(key_hash(key))

    async def change_settings(self, change):
        if self.failure == "store down":
            return Err(SettingsStoreUnavailable("The table service is down.", "Wait.", 2.5))
        if change.expected_version != self.control_state.settings_version:
            return Err(self._conflict(change))
        if self.failure != "lost before it took effect":
            self.put_tree(change.tree, change.change_id)
        if self.failure in ("lost before it took effect", "lost after it took effect"):
            return Err(SettingsOutcomeUnknown("The answer is lost.", "Ask.", 1.0, change.change_id))
        return Ok(SettingsAccepted(change.change_id, self.control_state.settings_version))

    def _conflict(self, change):
        in_force = parse_tree(self.control_state.settings_tree).unwrap()
        difference = settings_difference(in_force, parse_tree(change.tree).unwrap())
        version = self.control_state.settings_version
        return SettingsConflict("Another change was first.", "Merge.", 0.0, version, difference)

    async def change_progress(self, change_id):
        if change_id not in self.changes:
            return Err(UnknownChange(f"No change {change_id}.", "Send it again."))
        version = self.changes[change_id]
        in_force = sum(each.settings_version >= version for each in await self.routers())
        return Ok(ChangeProgress(change_id, version, 2, in_force, in_force == 2))

    async def routers(self):
        newest = self.control_state.settings_version
        slow = newest if self.version_of_slow_router is None else self.version_of_slow_router
        return [
            RouterPresence(Member(name="router-b"), slow, 40, 1.5),
            RouterPresence(Member(name="router-a"), newest, 41, 0.1),
        ]

    async def drain_server(self, name):
        if name not in [each.name for each in self.control_state.servers]:
            return Err(UnknownServer(f"No server {name}.", "List the servers."))
        self.drained.append(name)
        return Ok(None)


def make_plane():
    """Return a plane with one tree, two servers and two ranges of the service `shop`."""
    plane = FakeControlPlane()
    plane.put_tree(b'{"services":{"shop":{"weight":2.0,"keys":{"hot":{"retry_limit":0}}}}}')
    plane.add_server("shop", "shop-1")
    plane.add_server("shop", "shop-2")
    plane.add_halves("shop", "shop-1", "shop-2")
    return plane
