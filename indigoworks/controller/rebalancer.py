"""Moves ranges between live servers when their load is uneven."""

from collections.abc import Sequence

from indigoworks.controller.ownership_context import OwnershipContext, change_command
from indigoworks.controller.placement.move_budget import MoveBudget
from indigoworks.controller.placement.rebalance import next_move
from indigoworks.settings import SettingsResolver
from indigoworks.settings.placement_settings import PlacementSettings
from indigoworks.wire.control_pb2 import Command, RangeRecord

SETTLE_S = {"availability": 1.0, "stability": 10.0}
"""Time for which the load must stay uneven before ranges move, by the service's preference."""


class Rebalancer:
    """Starts at most one move of a service at a time, within the service's budget of moves."""

    def __init__(self) -> None:
        self._budgets: dict[str, MoveBudget] = {}
        self._rates: dict[str, float] = {}
        self._uneven_since_s: dict[str, float] = {}

    def __call__(self, context: OwnershipContext) -> Sequence[Command]:
        """Return the commands that start moves; a rule of ownership."""
        resolver = SettingsResolver(context.tree)
        commands: list[Command] = []
        for service in sorted(context.tree.services):
            resolved = resolver.resolve(service)
            if resolved is not None:
                commands += self._moves_of(context, service, resolved.placement)
        return commands

    def _moves_of(
        self, context: OwnershipContext, service: str, placement: PlacementSettings
    ) -> Sequence[Command]:
        records = context.state.ranges(service)
        if any(record.next_owner or not record.owner for record in records):
            return []
        move = next_move(context.board(service), records, placement.imbalance_threshold)
        if move is None:
            self._uneven_since_s.pop(service, None)
            return []
        if not self._has_settled(context, service, placement):
            return []
        if not self._budget(context, service, placement).take(context.clock.now()):
            return []
        record, target = move
        return [self._start(context, record, target)]

    def _start(self, context: OwnershipContext, record: RangeRecord, target: str) -> Command:
        return change_command([record], [context.releasing(record, target)])

    def _has_settled(
        self, context: OwnershipContext, service: str, placement: PlacementSettings
    ) -> bool:
        now_s = context.clock.now()
        since_s = self._uneven_since_s.setdefault(service, now_s)
        return now_s - since_s >= SETTLE_S[placement.prefer]

    def _budget(
        self, context: OwnershipContext, service: str, placement: PlacementSettings
    ) -> MoveBudget:
        rate = placement.move_budget_per_minute
        if self._rates.get(service) != rate:
            self._rates[service] = rate
            self._budgets[service] = MoveBudget(rate, context.clock.now())
        return self._budgets[service]
