"""Cache of view snapshots and deltas, shared by all routers that need the same message."""

from collections.abc import Sequence

from indigoworks.controller.control_state import ReplicatedControlState
from indigoworks.wire.control_pb2 import ControlState, ViewDelta

Services = tuple[str, ...]
"""Services to include; empty for all."""


class ViewMessageCache:
    """Caches messages of the current version: every router needs them right after a change."""

    def __init__(self, state: ReplicatedControlState) -> None:
        self._state = state
        self._cached_for = (0, 0)
        self._snapshots: dict[Services, ControlState] = {}
        self._deltas: dict[tuple[int, Services], ViewDelta | None] = {}

    def snapshot(self, generation: int, services: Sequence[str]) -> ControlState:
        """Return the whole state; callers must not modify the message."""
        self._drop_outdated(generation)
        wanted = tuple(services)
        if wanted not in self._snapshots:
            self._snapshots[wanted] = self._state.to_message(wanted)
        return self._snapshots[wanted]

    def delta(
        self, generation: int, from_version: int, services: Sequence[str]
    ) -> ViewDelta | None:
        """Return the changes since `from_version`, or None if some are no longer kept."""
        self._drop_outdated(generation)
        key = (from_version, tuple(services))
        if key not in self._deltas:
            self._deltas[key] = self._state.history.delta(
                from_version, self._state.version, services
            )
        return self._deltas[key]

    def _drop_outdated(self, generation: int) -> None:
        # Versions of different generations are not comparable, so the key has the generation, too.
        current = (generation, self._state.version)
        if self._cached_for != current:
            self._cached_for = current
            self._snapshots.clear()
            self._deltas.clear()
