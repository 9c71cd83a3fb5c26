"""Ownership rule that splits the key space of a new service into its initial ranges."""

from collections.abc import Sequence

from indigoworks.controller.ownership_context import OwnershipContext, change_command
from indigoworks.controller.ownership_rules import grant_to_lightest
from indigoworks.controller.placement.key_space_split import split_key_space
from indigoworks.settings import SettingsResolver
from indigoworks.wire.control_pb2 import Command

MIN_STABLE_S = 1.5
"""Time for which the servers of a new service must not change before its key space is split.

Longer than the discovery interval, so that servers that start together all get ranges. Without it
the first server to register gets every range, and balancing them afterwards costs moves.
"""


class NewServiceSplit:
    """Splits a new service among its servers once the set of servers is stable."""

    def __init__(self) -> None:
        self._candidates: dict[str, frozenset[str]] = {}
        self._unchanged_since_s: dict[str, float] = {}

    def __call__(self, context: OwnershipContext) -> Sequence[Command]:
        """Return the commands that create ranges for services whose set of servers is stable."""
        resolver = SettingsResolver(context.tree)
        commands: list[Command] = []
        for service in sorted(context.tree.services):
            if context.state.ranges(service):
                continue
            resolved = resolver.resolve(service)
            if resolved is None or not self._are_servers_stable(context, service):
                continue
            ranges = split_key_space(service, resolved.placement.initial_ranges)
            commands.append(change_command([], grant_to_lightest(context, service, ranges)))
        return commands

    def _are_servers_stable(self, context: OwnershipContext, service: str) -> bool:
        now_s = context.clock.now()
        names = frozenset(server.name for server in context.candidates(service))
        if self._candidates.get(service) != names:
            self._candidates[service] = names
            self._unchanged_since_s[service] = now_s
        return bool(names) and now_s - self._unchanged_since_s[service] >= MIN_STABLE_S
