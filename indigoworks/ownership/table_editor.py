"""Pure functions that return changed ownership tables."""

from collections.abc import Sequence

from indigoworks.ownership.owned_range import FormerOwner, OwnedRange
from indigoworks.ownership.ownership_table import KEY_COUNT, OwnershipTable
from indigoworks.ownership.range_move import RangeMove
from indigoworks.rowstore.store_version import NO_VERSION

TOKEN_STEP = 2
"""New tokens grow by this much; releases of the old owner's grants use the token in between."""


def first_table(
    service: str, server_ids: Sequence[str], weights: Sequence[int], above: int = 0
) -> OwnershipTable:
    """Return the first table: each server gets one contiguous range in proportion to its weight.

    :param above: the token is higher than this number.
    """
    token = above + TOKEN_STEP
    total = sum(weights)
    ranges: list[OwnedRange] = []
    first, sum_of_weights = 0, 0
    for server_id, weight in zip(server_ids, weights, strict=True):
        sum_of_weights += weight
        last = KEY_COUNT * sum_of_weights // total - 1
        ranges.append(OwnedRange(first, last, server_id, token))
        first = last + 1
    return OwnershipTable(service, tuple(ranges), token, NO_VERSION)


def with_moves(table: OwnershipTable, moves: Sequence[RangeMove]) -> OwnershipTable:
    """Return the table after `moves`; moved keys get a new token, above all that were used."""
    token = table.highest_token + TOKEN_STEP
    ranges = list(table.ranges)
    for move in moves:
        ranges = [part for owned in ranges for part in _apply_move(owned, move, token)]
    return OwnershipTable(table.service, _merged(ranges), token, table.version)


def with_new_tokens(table: OwnershipTable) -> OwnershipTable:
    """Return the table with one new token on all ranges, as a new leader needs it."""
    token = table.highest_token + TOKEN_STEP
    ranges = [
        OwnedRange(each.first, each.last, each.server_id, token, each.former)
        for each in table.ranges
    ]
    return OwnershipTable(table.service, _merged(ranges), token, table.version)


def with_new_token_of(
    table: OwnershipTable, wanted: Sequence[OwnedRange], step: int = TOKEN_STEP
) -> OwnershipTable:
    """Return the table with a new token on the ranges in `wanted`, whose owners stay.

    :param step: how far the token is above all that were used; at least TOKEN_STEP.
    """
    token = table.highest_token + step
    ranges = tuple(
        OwnedRange(each.first, each.last, each.server_id, token, each.former)
        if each in wanted
        else each
        for each in table.ranges
    )
    return OwnershipTable(table.service, ranges, token, table.version)


def in_new_era(table: OwnershipTable, carried: Sequence[OwnedRange], above: int) -> OwnershipTable:
    """Return a table of an earlier era as the first one of a new era.

    :param carried: its ranges, each with the former owners to be ruled out in the new era.
    :param above: the token of all ranges is higher than this number.
    """
    token = token_in_era(table, above)
    ranges = [
        OwnedRange(each.first, each.last, each.server_id, token, each.former) for each in carried
    ]
    return OwnershipTable(table.service, _merged(ranges), token, NO_VERSION)


def token_in_era(table: OwnershipTable, above: int) -> int:
    """Return the first token of a table of an earlier era in a new era."""
    return max(table.highest_token, above) + TOKEN_STEP


def spans_of_others(
    ranges: Sequence[OwnedRange], server_id: str, token: int
) -> tuple[OwnedRange, ...]:
    """Return the keys that other servers own, under `token`, with adjacent ranges merged."""
    others = [
        OwnedRange(each.first, each.last, "", token)
        for each in ranges
        if each.server_id != server_id
    ]
    return _merged(others)


def without_former(table: OwnershipTable, granted: Sequence[OwnedRange]) -> OwnershipTable:
    """Return the table without the former owners of ranges in `granted`."""
    done = set(granted)
    ranges = [
        OwnedRange(each.first, each.last, each.server_id, each.token) if each in done else each
        for each in table.ranges
    ]
    return OwnershipTable(table.service, _merged(ranges), table.highest_token, table.version)


def _apply_move(owned: OwnedRange, move: RangeMove, token: int) -> list[OwnedRange]:
    """Return the parts of `owned` after `move`; `[owned]` if the move does not affect it."""
    first, last = max(owned.first, move.first), min(owned.last, move.last)
    if first > last or owned.server_id != move.from_server:
        return [owned]
    parts: list[OwnedRange] = []
    if owned.first < first:
        parts.append(_part(owned, owned.first, first - 1))
    former = tuple(
        each for each in owned.former if each.server_id not in (owned.server_id, move.to_server)
    )
    former = (*former, FormerOwner(owned.server_id))
    parts.append(OwnedRange(first, last, move.to_server, token, former))
    if last < owned.last:
        parts.append(_part(owned, last + 1, owned.last))
    return parts


def _part(owned: OwnedRange, first: int, last: int) -> OwnedRange:
    return OwnedRange(first, last, owned.server_id, owned.token, owned.former)


def _merged(ranges: Sequence[OwnedRange]) -> tuple[OwnedRange, ...]:
    """Merge adjacent ranges that differ only in their keys."""
    merged: list[OwnedRange] = []
    for each in ranges:
        before = merged[-1] if merged else None
        is_same = before is not None and (before.server_id, before.token, before.former) == (
            each.server_id,
            each.token,
            each.former,
        )
        if before is not None and is_same and before.last + 1 == each.first:
            merged[-1] = _part(before, before.first, each.last)
        else:
            merged.append(each)
    return tuple(merged)
