"""Ownership rules: functions from the leader's state to the commands that it should propose.

A rule takes a range from a server only after the server has released it or its lease has certainly
lapsed. This alone makes ownership exclusive.
"""

from collections.abc import Callable, Iterable, Sequence

from indigoworks.common.ring.key_hash import key_hash
from indigoworks.controller.ownership_context import (
    NO_NEXT_OWNER,
    OwnershipContext,
    change_command,
)
from indigoworks.controller.placement.key_space_split import split_out_position
from indigoworks.controller.placement.server_weights import ServerWeights
from indigoworks.wire.control_pb2 import (
    SERVER_STATE_LEAVING,
    SERVER_STATE_LIVE,
    SERVER_STATE_LOST,
    Command,
    RangeRecord,
    Server,
    ServerState,
    SetServerState,
)

OwnershipRule = Callable[[OwnershipContext], Sequence[Command]]

HANDOVER_DIVISOR = 4
"""In each evaluation of the rules a leaving server is asked to release its number of ranges divided
by this."""


def reassign_ranges_of_lost_servers(context: OwnershipContext) -> Sequence[Command]:
    """Reassign the ranges of lost servers, whose leases have certainly lapsed.

    All lost servers are handled together: servers lost with a zone must not receive each other's
    ranges, and their ranges must not all go to the same lightest server.
    """
    lost = context.leases.lost_servers()
    records = [
        each for server in lost for each in context.state.ranges_of_all_incarnations(server.name)
    ]
    commands = list(_reassign(context, records, {server.name for server in lost}))
    commands += [_state_command(server, SERVER_STATE_LOST) for server in lost]
    return commands


def mark_draining_servers(context: OwnershipContext) -> Sequence[Command]:
    """Mark servers that asked to be drained as leaving."""
    return [
        _state_command(server, SERVER_STATE_LEAVING)
        for server in context.leases.draining_servers()
        if _current_state(context, server) == SERVER_STATE_LIVE
    ]


def renew_grants_of_earlier_generations(context: OwnershipContext) -> Sequence[Command]:
    """Grant ranges of earlier generations again, once all leases of earlier leaders have lapsed."""
    if not context.leadership.have_earlier_leases_lapsed():
        return []
    old = context.state.ranges_outside_generation(context.leadership.generation)
    commands: list[Command] = []
    for records in _by_service(old):
        replacement = [_granted_again(context, record) for record in records]
        commands.append(change_command(records, replacement))
    return commands


def assign_unowned_ranges(context: OwnershipContext) -> Sequence[Command]:
    """Assign ranges without an owner to the lightest servers."""
    unowned = [each for each in context.state.unowned_ranges() if context.is_current(each)]
    commands: list[Command] = []
    for records in _by_service(unowned):
        service = records[0].service
        if context.candidates(service):
            commands.append(change_command(records, grant_to_lightest(context, service, records)))
    return commands


def finish_handovers(context: OwnershipContext) -> Sequence[Command]:
    """Grant released ranges to their next owners."""
    releasing = context.state.releasing_ranges()
    released = [each for each in releasing if context.leases.has_released(each)]
    commands: list[Command] = []
    for records in _by_service(released):
        weights = context.server_weights(records[0].service)
        replacement = [_handed_over(context, weights, record) for record in records]
        commands.append(change_command(records, replacement))
    return commands


def drain_leaving_servers(context: OwnershipContext) -> Sequence[Command]:
    """Ask leaving servers to release their ranges, a share in each round."""
    commands: list[Command] = []
    for server in context.state.servers():
        if server.state != SERVER_STATE_LEAVING:
            continue
        owned = context.state.ranges_of(server)
        not_asked = [each for each in owned if not each.next_owner and context.is_current(each)]
        count = max(1, len(owned) // HANDOVER_DIVISOR)
        commands += _start_release(context, server.service, not_asked[:count])
    return commands


def split_out_keys_by_setting(context: OwnershipContext) -> Sequence[Command]:
    """Split each key with the setting `own_range` into a range of its own."""
    for service, settings in sorted(context.tree.services.items()):
        for key, leaf in sorted(settings.keys.items()):
            if not leaf.own_range:
                continue
            position = key_hash(key.encode("utf-8"))
            record = _range_at(context.state.ranges(service), position)
            if record is None or record.start == record.end:
                continue
            # One at a time: the next round sees the ranges that this split creates.
            return [change_command([record], split_out_position(record, position))]
    return []


def _reassign(
    context: OwnershipContext, records: Sequence[RangeRecord], excluded: set[str]
) -> Sequence[Command]:
    """Return commands that assign `records` to servers outside `excluded`."""
    commands: list[Command] = []
    for group in _by_service(records):
        weights = _server_weights_without(context, group[0].service, excluded)
        replacement = []
        for record in group:
            target = _planned_owner(context, record, excluded) or weights.lightest()
            if target is not None:
                weights.add(target.name, record)
            replacement.append(context.granted_to(record, target))
        commands.append(change_command(group, replacement))
    return commands


def _server_weights_without(
    context: OwnershipContext, service: str, excluded: set[str]
) -> ServerWeights:
    candidates = [each for each in context.candidates(service) if each.name not in excluded]
    return context.server_weights_of(candidates, context.state.ranges(service))


def _planned_owner(
    context: OwnershipContext, record: RangeRecord, excluded: set[str]
) -> Server | None:
    """Return the next owner that a handover had chosen, if it may still receive the range."""
    if not record.next_owner or record.next_owner in excluded:
        return None
    return context.live_server(record.next_owner)


def _granted_again(context: OwnershipContext, record: RangeRecord) -> RangeRecord:
    owner = context.live_server(record.owner) if record.owner else None
    if owner is not None and owner.incarnation != record.owner_incarnation:
        owner = None
    return context.granted_to(record, owner)


def grant_to_lightest(
    context: OwnershipContext, service: str, records: Iterable[RangeRecord]
) -> Sequence[RangeRecord]:
    """Return `records` granted to the lightest servers of the service."""
    weights = context.server_weights(service)
    granted = []
    for record in records:
        target = weights.lightest()
        if target is not None:
            weights.add(target.name, record)
        granted.append(context.granted_to(record, target))
    return granted


def _handed_over(
    context: OwnershipContext, weights: ServerWeights, record: RangeRecord
) -> RangeRecord:
    target = context.live_server(record.next_owner)
    if target is None:
        # The next owner is no longer available; the range was released, so any server may own it.
        target = weights.lightest()
        if target is not None:
            weights.add(target.name, record)
    return context.granted_to(record, target)


def _start_release(
    context: OwnershipContext, service: str, records: Sequence[RangeRecord]
) -> Sequence[Command]:
    if not records:
        return []
    weights = context.server_weights(service)
    replacement = []
    for record in records:
        target = weights.lightest()
        if target is not None:
            weights.add(target.name, record)
        replacement.append(
            context.with_next_owner(record, target.name if target else NO_NEXT_OWNER)
        )
    return [change_command(records, replacement)]


def _range_at(records: Sequence[RangeRecord], position: int) -> RangeRecord | None:
    return next((each for each in records if each.start <= position <= each.end), None)


def _by_service(records: Iterable[RangeRecord]) -> Sequence[Sequence[RangeRecord]]:
    """Return the records grouped by service."""
    groups: dict[str, list[RangeRecord]] = {}
    for record in records:
        groups.setdefault(record.service, []).append(record)
    return [groups[service] for service in sorted(groups)]


def _current_state(context: OwnershipContext, server: Server) -> int:
    known = context.state.server(server.name)
    if known is None or known.incarnation != server.incarnation:
        return SERVER_STATE_LOST
    return known.state


def _state_command(server: Server, state: ServerState.ValueType) -> Command:
    change = SetServerState(server_name=server.name, incarnation=server.incarnation, state=state)
    return Command(set_server_state=change)
