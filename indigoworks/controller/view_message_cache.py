"""Snapshots and deltas of the replicated state, made once for all routers that need the same."""

from collections.abc import Sequence

from indigoworks.controller.control_state import ReplicatedControlState
from indigoworks.wire.control_pb2 import ControlState, ViewDelta

Services = tuple[str, ...]
"""Services wanted; empty for all."""


class ViewMessageCache:
    """Keeps the messages of the newest version: a change concerns every router at once."""

    def __init__(self, state: ReplicatedControlState) -> None:
        self._state = state
        self._made_for = (0, 0)
        self._snapshots: dict[Services, ControlState] = {}
        self._deltas: dict[tuple[int, Services], ViewDelta | None] = {}

    def snapshot(self, generation: int, services: Sequence[str]) -> ControlState:
        """Return the whole state; the message must not be changed."""
        self._forget_older(generation)
        wanted = tuple(services)
        if wanted not in self._snapshots:
            self._snapshots[wanted] = self._state.to_message(wanted)
        return self._snapshots[wanted]

    def delta(
        self, generation: int, from_version: int, services: Sequence[str]
    ) -> ViewDelta | None:
        """Return the changes since `from_version`, or None if they are no longer all kept."""
        self._forget_older(generation)
        key = (from_version, tuple(services))
        if key not in self._deltas:
            self._deltas[key] = self._state.history.delta(
                from_version, self._state.version, services
            )
        return self._deltas[key]

    def _forget_older(self, generation: int) -> None:
        # Versions of two generations do not compare, so the generation belongs to the mark.
        current = (generation, self._state.version)
        if self._made_for != current:
            self._made_for = current
            self._snapshots.clear()
            self._deltas.clear()
