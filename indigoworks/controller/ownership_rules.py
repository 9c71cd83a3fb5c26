"""The rules of ownership. Each looks at the state and returns the commands that it calls for.

Every rule that takes a range from a server does so only after the server has released it or
its lease has surely lapsed. That, and nothing else, makes ownership exclusive.
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

HANDOVER_SHARE_PER_ROUND = 4
"""A leaving server starts to release a quarter of its ranges in each round of the rules."""


def reassign_ranges_of_lost_servers(context: OwnershipContext) -> Sequence[Command]:
    """Give the ranges of lost servers to others. Their leases have surely lapsed.

    All losses are planned together: servers that are lost with a zone must neither inherit each
    other's ranges nor have them all land on the same lightest server.
    """
    lost = context.leases.lost_servers()
    records = [each for server in lost for each in context.state.ranges_of_all_runs(server.name)]
    commands = list(_reassign(context, records, {server.name for server in lost}))
    commands += [_state_command(server, SERVER_STATE_LOST) for server in lost]
    return commands


def mark_draining_servers(context: OwnershipContext) -> Sequence[Command]:
    """Mark servers that asked to be emptied as leaving."""
    return [
        _state_command(server, SERVER_STATE_LEAVING)
        for server in context.leases.draining_servers()
        if _current_state(context, server) == SERVER_STATE_LIVE
    ]


def renew_grants_of_earlier_generations(context: OwnershipContext) -> Sequence[Command]:
    """Grant ranges of earlier generations anew, once no lease of theirs can hold."""
    if not context.leadership.have_earlier_leases_lapsed():
        return []
    old = context.state.ranges_outside_generation(context.leadership.generation)
    commands: list[Command] = []
    for records in _by_service(old):
        replacement = [_granted_anew(context, record) for record in records]
        commands.append(change_command(records, replacement))
    return commands


def assign_unowned_ranges(context: OwnershipContext) -> Sequence[Command]:
    """Give ranges that nobody owns to the lightest servers."""
    unowned = [each for each in context.state.unowned_ranges() if context.is_current(each)]
    commands: list[Command] = []
    for records in _by_service(unowned):
        service = records[0].service
        if context.candidates(service):
            commands.append(change_command(records, spread(context, service, records)))
    return commands


def finish_handovers(context: OwnershipContext) -> Sequence[Command]:
    """Give released ranges to their next owners."""
    releasing = context.state.releasing_ranges()
    released = [each for each in releasing if context.leases.has_released(each)]
    commands: list[Command] = []
    for records in _by_service(released):
        board = context.server_weights(records[0].service)
        replacement = [_handed_over(context, board, record) for record in records]
        commands.append(change_command(records, replacement))
    return commands


def empty_leaving_servers(context: OwnershipContext) -> Sequence[Command]:
    """Ask leaving servers to release their ranges, some in each round."""
    commands: list[Command] = []
    for server in context.state.servers():
        if server.state != SERVER_STATE_LEAVING:
            continue
        owned = context.state.ranges_of(server)
        waiting = [each for each in owned if not each.next_owner and context.is_current(each)]
        count = max(1, len(owned) // HANDOVER_SHARE_PER_ROUND)
        commands += _start_release(context, server.service, waiting[:count])
    return commands


def split_out_hot_keys(context: OwnershipContext) -> Sequence[Command]:
    """Give keys that the tree marks with `own_range` a range of their own."""
    for service, settings in sorted(context.tree.services.items()):
        for key, leaf in sorted(settings.keys.items()):
            if not leaf.own_range:
                continue
            place = key_hash(key.encode("utf-8"))
            record = _range_at(context.state.ranges(service), place)
            if record is None or record.start == record.end:
                continue
            # One at a time: the next round sees the ranges that this cut makes.
            return [change_command([record], split_out_position(record, place))]
    return []


def _reassign(
    context: OwnershipContext, records: Sequence[RangeRecord], excluded: set[str]
) -> Sequence[Command]:
    """Return commands that give `records` to servers outside `excluded`."""
    commands: list[Command] = []
    for group in _by_service(records):
        board = _board_without(context, group[0].service, excluded)
        replacement = []
        for record in group:
            target = _planned_owner(context, record, excluded) or board.lightest()
            if target is not None:
                board.add(target.name, record)
            replacement.append(context.granted_to(record, target))
        commands.append(change_command(group, replacement))
    return commands


def _board_without(context: OwnershipContext, service: str, excluded: set[str]) -> ServerWeights:
    candidates = [each for each in context.candidates(service) if each.name not in excluded]
    return context.server_weights_of(candidates, context.state.ranges(service))


def _planned_owner(
    context: OwnershipContext, record: RangeRecord, excluded: set[str]
) -> Server | None:
    """Return the server that a handover in progress had chosen, if it can still take the range."""
    if not record.next_owner or record.next_owner in excluded:
        return None
    return context.live_server(record.next_owner)


def _granted_anew(context: OwnershipContext, record: RangeRecord) -> RangeRecord:
    owner = context.live_server(record.owner) if record.owner else None
    if owner is not None and owner.incarnation != record.owner_incarnation:
        owner = None
    return context.granted_to(record, owner)


def spread(
    context: OwnershipContext, service: str, records: Iterable[RangeRecord]
) -> Sequence[RangeRecord]:
    """Return `records` granted to the lightest servers of the service."""
    board = context.server_weights(service)
    granted = []
    for record in records:
        target = board.lightest()
        if target is not None:
            board.add(target.name, record)
        granted.append(context.granted_to(record, target))
    return granted


def _handed_over(
    context: OwnershipContext, board: ServerWeights, record: RangeRecord
) -> RangeRecord:
    target = context.live_server(record.next_owner)
    if target is None:
        # The planned owner has gone since; the range is free, so any server may have it.
        target = board.lightest()
        if target is not None:
            board.add(target.name, record)
    return context.granted_to(record, target)


def _start_release(
    context: OwnershipContext, service: str, records: Sequence[RangeRecord]
) -> Sequence[Command]:
    if not records:
        return []
    board = context.server_weights(service)
    replacement = []
    for record in records:
        target = board.lightest()
        if target is not None:
            board.add(target.name, record)
        replacement.append(
            context.with_next_owner(record, target.name if target else NO_NEXT_OWNER)
        )
    return [change_command(records, replacement)]


def _range_at(records: Sequence[RangeRecord], place: int) -> RangeRecord | None:
    return next((each for each in records if each.start <= place <= each.end), None)


def _by_service(records: Iterable[RangeRecord]) -> Sequence[Sequence[RangeRecord]]:
    """Return the records in lists of one service each."""
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
