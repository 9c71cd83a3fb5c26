"""Cuts the key space of services that have no ranges yet."""

from collections.abc import Sequence

from indigoworks.controller.ownership_context import OwnershipContext, change_command
from indigoworks.controller.ownership_rules import spread
from indigoworks.controller.placement.key_space_split import split_key_space
from indigoworks.settings import SettingsResolver
from indigoworks.wire.control_pb2 import Command

GATHER_S = 1.5
"""Time without a new server after which the servers of a new service count as gathered; longer
than the interval of discovery, so that servers that start together are all there.

Without it the first server to register gets every range, and evening them out costs moves.
"""


class NewServiceSplit:
    """A rule of ownership: cuts a new service among its servers once they have gathered."""

    def __init__(self) -> None:
        self._candidates: dict[str, frozenset[str]] = {}
        self._unchanged_since_s: dict[str, float] = {}

    def __call__(self, context: OwnershipContext) -> Sequence[Command]:
        """Return the commands that cut services whose servers have gathered."""
        resolver = SettingsResolver(context.tree)
        commands: list[Command] = []
        for service in sorted(context.tree.services):
            if context.state.ranges(service):
                continue
            resolved = resolver.resolve(service)
            if resolved is None or not self._have_gathered(context, service):
                continue
            ranges = split_key_space(service, resolved.placement.initial_ranges)
            commands.append(change_command([], spread(context, service, ranges)))
        return commands

    def _have_gathered(self, context: OwnershipContext, service: str) -> bool:
        now_s = context.clock.now()
        names = frozenset(server.name for server in context.candidates(service))
        if self._candidates.get(service) != names:
            self._candidates[service] = names
            self._unchanged_since_s[service] = now_s
        return bool(names) and now_s - self._unchanged_since_s[service] >= GATHER_S
