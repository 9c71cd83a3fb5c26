"""The leader's task that applies the ownership rules."""

import asyncio

from eliot import log_message

from indigoworks.controller.control_state import ReplicatedControlState
from indigoworks.controller.controller_ports import ControllerPorts
from indigoworks.controller.leadership import Leadership
from indigoworks.controller.lease_manager import LeaseManager
from indigoworks.controller.new_service_split import NewServiceSplit
from indigoworks.controller.ownership_context import OwnershipContext
from indigoworks.controller.ownership_rules import (
    OwnershipRule,
    assign_unowned_ranges,
    drain_leaving_servers,
    finish_handovers,
    mark_draining_servers,
    reassign_ranges_of_lost_servers,
    renew_grants_of_earlier_generations,
    split_out_keys_by_setting,
)
from indigoworks.controller.rebalancer import Rebalancer
from indigoworks.controller.router_registry import RouterRegistry
from indigoworks.controller.tree_cache import TreeCache
from indigoworks.controllog.control_log_node import ControlLogNode
from indigoworks.wire.control_pb2 import Command

ROUND_INTERVAL_S = 0.1
"""Longest time between two evaluations of the rules."""


class OwnershipManager:
    """Evaluates the rules whenever something changed, and proposes the resulting commands.

    The commands of one rule are committed before the next rule is evaluated, so no rule decides on
    a state that another one is about to change.
    """

    def __init__(
        self,
        node: ControlLogNode,
        state: ReplicatedControlState,
        leadership: Leadership,
        leases: LeaseManager,
        ports: ControllerPorts,
        changed: asyncio.Event,
        routers: RouterRegistry,
    ) -> None:
        self._routers = routers
        self._node = node
        self._state = state
        self._leadership = leadership
        self._leases = leases
        self._ports = ports
        self._changed = changed
        self._tree_cache = TreeCache()
        self._rules: tuple[OwnershipRule, ...] = (
            reassign_ranges_of_lost_servers,
            renew_grants_of_earlier_generations,
            finish_handovers,
            mark_draining_servers,
            drain_leaving_servers,
            NewServiceSplit(),
            assign_unowned_ranges,
            split_out_keys_by_setting,
            Rebalancer(),
        )

    async def run(self) -> None:
        """Evaluate the rules until cancelled."""
        while True:
            self._changed.clear()
            if self._leadership.may_grant():
                self._leases.reconcile()
                await self._apply_rules()
                self._leases.reconcile()
            await self._wait_for_change()

    async def _wait_for_change(self) -> None:
        try:
            async with asyncio.timeout(ROUND_INTERVAL_S):
                await self._changed.wait()
        except TimeoutError:
            return

    async def _apply_rules(self) -> None:
        tree = self._tree_cache.tree(self._state.settings)
        if tree is None:
            return
        context = OwnershipContext(
            self._state,
            self._leases,
            self._leadership,
            tree,
            self._ports.clock,
            self._routers.range_loads(),
        )
        for rule in self._rules:
            # Appended in order and committed together: the loss of a zone costs one round trip.
            await asyncio.gather(*(self._propose(command) for command in rule(context)))

    async def _propose(self, command: Command) -> None:
        proposed = await self._node.propose(command)
        log_message(
            message_type="ownership:command",
            command=command.WhichOneof("command") or "",
            term=self._leadership.term,
            index=proposed.unwrap_or(0),
            is_committed=proposed.is_ok(),
        )
        self._leases.reconcile()
