"""The replicated state of a control group: servers, ranges and settings."""

from collections.abc import Iterable, Sequence

from indigoworks.common.clock import Clock
from indigoworks.controller.range_index import RangeIndex
from indigoworks.controller.view_history import ViewHistory
from indigoworks.wire.control_pb2 import (
    ChangeRanges,
    Command,
    ControlState,
    RangeRecord,
    ReplaceSettings,
    Server,
    SetServerState,
)

GENERATION_SHIFT_BITS = 40
"""A fencing token is the generation shifted by this many bits plus the log index of its grant.

Log indexes never repeat inside a generation and generations only grow, so tokens only grow.
"""


class ReplicatedControlState:
    """State machine of the control log; the same on every controller of a group.

    :ivar version: log index of the newest command that changed the content of views, or that of the
        restored snapshot.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._settings_applied_at_s = clock.now()
        self._applied_index = 0
        self._servers: dict[str, Server] = {}
        self._ranges = RangeIndex()
        self._servers_in_order: Sequence[Server] | None = None
        self._servers_by_service: dict[str, Sequence[Server]] = {}
        self._settings = ReplaceSettings()
        self._settings_index = 0
        self.version = 0
        self.history = ViewHistory()

    # ---- reading ----

    @property
    def applied_index(self) -> int:
        """Log index of the newest applied command."""
        return self._applied_index

    @property
    def settings(self) -> ReplaceSettings:
        """The settings in force; version 0 until the first settings are accepted."""
        return self._settings

    def settings_age_s(self) -> float:
        """Return the seconds since this controller applied the settings in force."""
        return self._clock.now() - self._settings_applied_at_s

    def version_of_change(self, change_id: str) -> int | None:
        """Return the settings version that an accepted change created, or None if it is unknown."""
        for change in self._settings.recent_changes:
            if change.change_id == change_id:
                return change.version
        return None

    def servers(self) -> Sequence[Server]:
        """Return all servers, sorted by name."""
        if self._servers_in_order is None:
            self._servers_in_order = [self._servers[name] for name in sorted(self._servers)]
        return self._servers_in_order

    def servers_of(self, service: str) -> Sequence[Server]:
        """Return the servers of `service`, sorted by name."""
        found = self._servers_by_service.get(service)
        if found is None:
            found = [server for server in self.servers() if server.service == service]
            self._servers_by_service[service] = found
        return found

    def server(self, name: str) -> Server | None:
        """Return the server named `name`, or None if it is not registered."""
        return self._servers.get(name)

    def ranges(self, service: str | None = None) -> Sequence[RangeRecord]:
        """Return the ranges of `service`, or of all services, sorted by service and start."""
        return self._ranges.all() if service is None else self._ranges.of_service(service)

    def ranges_of(self, server: Server) -> Sequence[RangeRecord]:
        """Return the ranges owned by this incarnation of the server."""
        owned = self.ranges_of_all_incarnations(server.name)
        return [each for each in owned if each.owner_incarnation == server.incarnation]

    def ranges_of_all_incarnations(self, server_name: str) -> Sequence[RangeRecord]:
        """Return the ranges owned by any incarnation; the same list object until they change."""
        return self._ranges.of_owner(server_name)

    def unowned_ranges(self) -> Sequence[RangeRecord]:
        """Return the ranges without an owner."""
        return self._ranges.of_owner("")

    def releasing_ranges(self) -> Sequence[RangeRecord]:
        """Return the ranges whose owner was asked to release them."""
        return self._ranges.releasing()

    def ranges_outside_generation(self, generation: int) -> Sequence[RangeRecord]:
        """Return the ranges that were granted in any other generation."""
        return self._ranges.outside_generation(generation)

    def to_message(self, services: Iterable[str] = ()) -> ControlState:
        """Return the state as one message.

        :param services: services to include; empty for all.
        """
        wanted = frozenset(services)
        return ControlState(
            last_index=self.version,
            servers=[s for s in self.servers() if not wanted or s.service in wanted],
            ranges=[r for r in self.ranges() if not wanted or r.service in wanted],
            settings_version=self._settings.version,
            settings_change_id=self._settings.change_id,
            settings_tree=self._settings.tree,
            settings_index=self._settings_index,
            settings_generation=self._settings.generation,
        )

    # ---- ReplicatedState of the control log ----

    def apply(self, index: int, command: Command) -> None:
        """Apply the committed command at log index `index`."""
        self._applied_index = index
        kind = command.WhichOneof("command")
        if kind == "register_server":
            self._put_server(index, command.register_server.server)
        elif kind == "set_server_state":
            self._set_server_state(index, command.set_server_state)
        elif kind == "change_ranges":
            self._change_ranges(index, command.change_ranges)
        elif kind == "replace_settings":
            self._replace_settings(index, command.replace_settings)

    def snapshot(self) -> bytes:
        """Return the whole state, for a member that is behind or for a checkpoint."""
        message = self.to_message()
        message.last_index = self._applied_index
        message.recent_changes.extend(self._settings.recent_changes)
        return message.SerializeToString()

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state with a snapshot."""
        message = ControlState.FromString(snapshot)
        self._applied_index = message.last_index
        self._servers = {server.name: server for server in message.servers}
        self._invalidate_server_lists()
        self._ranges = RangeIndex()
        for record in message.ranges:
            self._ranges.put(record)
        self._settings = ReplaceSettings(
            version=message.settings_version,
            change_id=message.settings_change_id,
            tree=message.settings_tree,
            generation=message.settings_generation,
            recent_changes=message.recent_changes,
        )
        self._settings_index = message.settings_index
        self._settings_applied_at_s = self._clock.now()
        self.version = message.last_index
        self.history.clear(message.last_index)

    # ---- commands ----

    def _put_server(self, index: int, server: Server) -> None:
        self._servers[server.name] = server
        self._invalidate_server_lists()
        self._record_change(index)
        self.history.add_server(index, server)

    def _set_server_state(self, index: int, change: SetServerState) -> None:
        current = self._servers.get(change.server_name)
        if current is None or current.incarnation != change.incarnation:
            return
        changed = Server()
        changed.CopyFrom(current)
        changed.state = change.state
        self._put_server(index, changed)

    def _change_ranges(self, index: int, change: ChangeRanges) -> None:
        # The leader computed the change from an earlier state. If any record has changed since,
        # the whole command is ignored; the leader applies its rules again and proposes a new one.
        for record in change.expected:
            if self._ranges.get(record.service, record.start) != record:
                return
        applied = ChangeRanges(expected=change.expected)
        for record in change.expected:
            self._ranges.remove(record)
        for replacement in change.replacement:
            applied.replacement.append(self._with_token(index, replacement))
        for record in applied.replacement:
            self._ranges.put(record)
        self._record_change(index)
        self.history.add_ranges(index, applied)

    def _with_token(self, index: int, replacement: RangeRecord) -> RangeRecord:
        """Return the record, with a new token if the proposal left it 0 and names an owner."""
        record = RangeRecord()
        record.CopyFrom(replacement)
        if record.token == 0 and record.owner:
            record.token = (record.generation << GENERATION_SHIFT_BITS) | index
        return record

    def _replace_settings(self, index: int, settings: ReplaceSettings) -> None:
        # Versions never decrease: a late proposal of an older version is ignored.
        if settings.version < self._settings.version:
            return
        is_new_generation = settings.generation > self._settings.generation
        if settings.version == self._settings.version and not is_new_generation:
            return
        self._settings = settings
        self._settings_index = index
        self._settings_applied_at_s = self._clock.now()
        self._record_change(index)
        view_settings = ReplaceSettings()
        view_settings.CopyFrom(settings)
        del view_settings.recent_changes[:]
        self.history.add_settings(index, view_settings)

    def _record_change(self, index: int) -> None:
        self.version = index

    def _invalidate_server_lists(self) -> None:
        self._servers_in_order = None
        self._servers_by_service.clear()
