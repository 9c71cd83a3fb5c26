"""Moves ranges between live servers when their load is uneven."""

from collections.abc import Sequence

from indigoworks.controller.ownership_context import OwnershipContext, change_command
from indigoworks.controller.placement.move_budget import MoveBudget
from indigoworks.controller.placement.range_weights import RangeWeights
from indigoworks.controller.placement.rebalance import next_move
from indigoworks.controller.placement.rebalance_inputs import RebalanceInputs
from indigoworks.controller.placement.server_weights import ServerWeights
from indigoworks.settings import SettingsResolver
from indigoworks.settings.placement_settings import PlacementSettings
from indigoworks.wire.control_pb2 import Command, RangeRecord, Server

SETTLE_S = {"availability": 1.0, "stability": 10.0}
"""Time for which the load must stay uneven before ranges move, by the service's preference."""


CALM_BUSY_RATIO = 0.65
"""Share of its slots that the busiest server may use before an uneven load is worth the churn: far
from saturation nobody waits for it, and what looks uneven is mostly chance."""

CALM_THRESHOLD = 2.0
"""Least threshold while no server is that busy."""

MAX_MOVES_AT_ONCE = 8
"""Ranges of one service that may be on their way at the same time."""


class Rebalancer:
    """Starts moves within the service's budget, a few at a time."""

    def __init__(self) -> None:
        self._budgets: dict[str, MoveBudget] = {}
        self._rates: dict[str, float] = {}
        self._uneven_since_s: dict[str, float] = {}
        self._even_looks: dict[str, RebalanceInputs] = {}

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
        candidates = tuple(context.candidates(service))
        weights = RangeWeights(records, context.loads)
        threshold = threshold_of(placement, weights, candidates)
        look = RebalanceInputs(records, candidates, threshold)
        even = self._even_looks.get(service)
        # Measured loads change all the time, so an earlier look says nothing about them.
        if even is not None and not weights.is_by_load and look.is_same_as(even):
            return []
        if any(record.next_owner or not record.owner for record in records):
            return []
        board = ServerWeights(candidates, records, weights)
        if next_move(board, records, threshold) is None:
            self._even_looks[service] = look
            self._uneven_since_s.pop(service, None)
            return []
        if not self._has_settled(context, service, placement):
            return []
        return self._start_moves(context, service, placement, list(records), weights, threshold)

    def _start_moves(
        self,
        context: OwnershipContext,
        service: str,
        placement: PlacementSettings,
        records: list[RangeRecord],
        weights: RangeWeights,
        threshold: float,
    ) -> Sequence[Command]:
        budget = self._budget(context, service, placement)
        commands: list[Command] = []
        for _ in range(MAX_MOVES_AT_ONCE):
            board = ServerWeights(context.candidates(service), records, weights)
            move = next_move(board, records, threshold)
            if move is None or not budget.try_consume(context.clock.now()):
                break
            record, target = move
            moving = context.with_next_owner(record, target)
            commands.append(change_command([record], [moving]))
            # The next move is chosen as if this one had ended.
            records[records.index(record)] = moving
        return commands

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


def threshold_of(
    placement: PlacementSettings, weights: RangeWeights, candidates: Sequence[Server]
) -> float:
    """Return the ratio of the heaviest server to the mean above which ranges move now."""
    threshold = placement.imbalance_threshold
    if weights.is_by_load and weights.busy_ratio(candidates) < CALM_BUSY_RATIO:
        return max(threshold, CALM_THRESHOLD)
    return threshold
