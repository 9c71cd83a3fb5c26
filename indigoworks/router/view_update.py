"""Applies a controller's reply to a routing view."""

from collections.abc import Iterable, Mapping
from dataclasses import replace

from result import Err, Ok, Result

from indigoworks.common.ring.range_assignment import RangeAssignment
from indigoworks.common.ring.range_table import RangeTable
from indigoworks.router.router_peer import RouterPeer, router_peer
from indigoworks.router.routing_view import RoutingView
from indigoworks.router.server_record import ServerRecord, server_record
from indigoworks.router.view_errors import (
    OlderGeneration,
    OlderSettings,
    SnapshotNeeded,
    UnreadableView,
    ViewError,
)
from indigoworks.settings.parse_tree import parse_tree
from indigoworks.settings.settings_resolver import SettingsResolver
from indigoworks.settings.settings_tree import SettingsTree
from indigoworks.wire import control_pb2


def updated_view(
    view: RoutingView | None, reply: control_pb2.ViewReply
) -> Result[RoutingView, ViewError]:
    """Return the view updated by `reply`, or why the reply cannot be applied.

    The generation never decreases, nor does the version within a generation. A reply that repeats
    the current version yields a new view, even if it is equal; one with an older version and the
    same router list yields `view` itself.
    """
    if view is not None and reply.generation < view.generation:
        return Err(_older_generation(view, reply))
    is_same_generation = view is not None and reply.generation == view.generation
    if view is not None and is_same_generation and reply.version < view.version:
        return Ok(_with_routers(view, reply))
    if reply.HasField("snapshot"):
        return _from_snapshot(view, reply)
    if view is None or not is_same_generation:
        return Err(_snapshot_needed("the router has no view of this generation"))
    if reply.HasField("delta"):
        return _from_delta(view, reply)
    return Ok(replace(_with_routers(view, reply), version=reply.version))


def _from_snapshot(
    view: RoutingView | None, reply: control_pb2.ViewReply
) -> Result[RoutingView, ViewError]:
    snapshot = reply.snapshot
    tree = _tree(snapshot.settings_tree)
    if isinstance(tree, Err):
        return tree
    try:
        tables = _tables(range_assignment(record) for record in snapshot.ranges)
    except ValueError as error:
        return Err(_unreadable(str(error)))
    if view is not None and snapshot.settings_version < view.settings_version:
        return Err(_older_settings(view, snapshot.settings_version))
    is_same_router_list = view is not None and reply.routers_version == view.routers_version
    return Ok(
        RoutingView(
            generation=reply.generation,
            version=reply.version,
            settings_version=snapshot.settings_version,
            settings=SettingsResolver(tree.unwrap()),
            groups=frozenset(tree.unwrap().groups),
            tables=tables,
            servers=_servers({}, snapshot.servers),
            routers=view.routers if view is not None and is_same_router_list else _routers(reply),
            routers_version=reply.routers_version,
        )
    )


def _from_delta(view: RoutingView, reply: control_pb2.ViewReply) -> Result[RoutingView, ViewError]:
    delta = reply.delta
    if delta.from_version != view.version:
        return Err(_snapshot_needed(f"it starts at {delta.from_version}, not {view.version}"))
    tables = _changed_tables(view.tables, delta.changes)
    if isinstance(tables, Err):
        return tables
    updated = replace(
        _with_routers(view, reply),
        version=reply.version,
        tables=tables.unwrap(),
        servers=_servers(view.servers, delta.servers),
    )
    if not delta.HasField("settings"):
        return Ok(updated)
    return _with_settings(updated, delta.settings)


def _with_settings(
    view: RoutingView, change: control_pb2.ReplaceSettings
) -> Result[RoutingView, ViewError]:
    if change.version <= view.settings_version:
        return Ok(view)
    tree = _tree(change.tree)
    if isinstance(tree, Err):
        return tree
    return Ok(
        replace(
            view,
            settings_version=change.version,
            settings=SettingsResolver(tree.unwrap()),
            groups=frozenset(tree.unwrap().groups),
        )
    )


def _changed_tables(
    tables: Mapping[str, RangeTable], changes: Iterable[control_pb2.ChangeRanges]
) -> Result[Mapping[str, RangeTable], ViewError]:
    """Apply the changes in order; fails if a table differs from the expected ranges."""
    current = dict(tables)
    for change in changes:
        for service, (expected, replacement) in _ranges_by_service(change).items():
            table = current.get(service, RangeTable()).replaced(expected, replacement)
            if table is None:
                return Err(_snapshot_needed(f"ranges of {service} differ"))
            current[service] = table
    return Ok(current)


def _ranges_by_service(
    change: control_pb2.ChangeRanges,
) -> dict[str, tuple[list[RangeAssignment], list[RangeAssignment]]]:
    """Return the expected and replacement ranges of a change, by service."""
    ranges: dict[str, tuple[list[RangeAssignment], list[RangeAssignment]]] = {}
    for record in change.expected:
        ranges.setdefault(record.service, ([], []))[0].append(range_assignment(record))
    for record in change.replacement:
        ranges.setdefault(record.service, ([], []))[1].append(range_assignment(record))
    return ranges


def range_assignment(record: control_pb2.RangeRecord) -> RangeAssignment:
    """Return the assignment that a range message describes."""
    return RangeAssignment(
        service=record.service,
        start=record.start,
        end=record.end,
        owner=record.owner,
        owner_incarnation=record.owner_incarnation,
        token=record.token,
        next_owner=record.next_owner,
    )


def _tables(assignments: Iterable[RangeAssignment]) -> dict[str, RangeTable]:
    by_service: dict[str, list[RangeAssignment]] = {}
    for assignment in assignments:
        by_service.setdefault(assignment.service, []).append(assignment)
    return {service: RangeTable(ranges) for service, ranges in by_service.items()}


def _servers(
    known: Mapping[str, ServerRecord], changed: Iterable[control_pb2.Server]
) -> dict[str, ServerRecord]:
    servers = dict(known)
    servers.update((server.name, server_record(server)) for server in changed)
    return servers


def _with_routers(view: RoutingView, reply: control_pb2.ViewReply) -> RoutingView:
    """Update the list of live routers, which is sent only if it has changed."""
    if reply.routers_version == view.routers_version:
        return view
    return replace(view, routers=_routers(reply), routers_version=reply.routers_version)


def _routers(reply: control_pb2.ViewReply) -> tuple[RouterPeer, ...]:
    return tuple(sorted(router_peer(member) for member in reply.routers))


def _tree(content: bytes) -> Result[SettingsTree, ViewError]:
    if not content:
        return Ok(SettingsTree())
    parsed = parse_tree(content)
    if isinstance(parsed, Err):
        return Err(_unreadable(parsed.unwrap_err().message))
    return Ok(parsed.unwrap())


def _older_generation(view: RoutingView, reply: control_pb2.ViewReply) -> OlderGeneration:
    return OlderGeneration(
        f"A controller answered for generation {reply.generation}, "
        f"but generation {view.generation} is current.",
        "Restart that controller if it does not join the newer generation by itself.",
    )


def _older_settings(view: RoutingView, offered: int) -> OlderSettings:
    return OlderSettings(
        f"A controller offered settings version {offered}; {view.settings_version} is in force.",
        "Nothing needs to be done: the controllers read the newest version from the platform.",
    )


def _snapshot_needed(reason: str) -> SnapshotNeeded:
    return SnapshotNeeded(
        f"A view delta cannot be applied: {reason}.",
        "Nothing needs to be done: the router requests the complete view.",
    )


def _unreadable(reason: str) -> UnreadableView:
    return UnreadableView(
        f"The view cannot be used: {reason}",
        "Run routers and controllers of the same version.",
    )
