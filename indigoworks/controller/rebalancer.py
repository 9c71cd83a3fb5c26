"""Ownership rule that moves ranges between live servers when their load is uneven."""

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

MIN_IMBALANCE_S = {"availability": 1.0, "stability": 10.0}
"""Time for which the load must stay uneven before ranges move, by `placement.prefer`."""

LOW_BUSY_RATIO = 0.65
"""Share of busy slots of the busiest server below which load counts as low: far from saturation no
request waits for a slot, and measured imbalance is mostly random variation."""

LOW_LOAD_THRESHOLD = 2.0
"""Minimum imbalance threshold while load is low."""

MAX_MOVES_AT_ONCE = 8
"""Moves of one service that may be in progress at the same time."""


class Rebalancer:
    """Starts moves within the move budget of each service."""

    def __init__(self) -> None:
        self._budgets: dict[str, MoveBudget] = {}
        self._rates: dict[str, float] = {}
        self._uneven_since_s: dict[str, float] = {}
        self._balanced_inputs: dict[str, RebalanceInputs] = {}

    def __call__(self, context: OwnershipContext) -> Sequence[Command]:
        """Return the commands that start moves."""
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
        inputs = RebalanceInputs(records, candidates, threshold)
        balanced = self._balanced_inputs.get(service)
        # Measured loads change constantly, so an earlier result holds only for weights by width.
        if balanced is not None and not weights.is_by_load and inputs.is_same_as(balanced):
            return []
        if any(record.next_owner or not record.owner for record in records):
            return []
        server_weights = ServerWeights(candidates, records, weights)
        if next_move(server_weights, records, threshold) is None:
            self._balanced_inputs[service] = inputs
            self._uneven_since_s.pop(service, None)
            return []
        if not self._has_imbalance_lasted(context, service, placement):
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
            server_weights = ServerWeights(context.candidates(service), records, weights)
            move = next_move(server_weights, records, threshold)
            if move is None or not budget.try_consume(context.clock.now()):
                break
            record, target = move
            moving = context.with_next_owner(record, target)
            commands.append(change_command([record], [moving]))
            # The next move is chosen as if this one were complete.
            records[records.index(record)] = moving
        return commands

    def _has_imbalance_lasted(
        self, context: OwnershipContext, service: str, placement: PlacementSettings
    ) -> bool:
        now_s = context.clock.now()
        since_s = self._uneven_since_s.setdefault(service, now_s)
        return now_s - since_s >= MIN_IMBALANCE_S[placement.prefer]

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
    """Return the imbalance above which ranges move; see `next_move`."""
    threshold = placement.imbalance_threshold
    if weights.is_by_load and weights.busy_ratio(candidates) < LOW_BUSY_RATIO:
        return max(threshold, LOW_LOAD_THRESHOLD)
    return threshold
