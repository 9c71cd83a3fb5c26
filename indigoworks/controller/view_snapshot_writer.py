"""The leader's task that writes view snapshots to the platform's object store."""

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.common.view_object import view_object_name
from indigoworks.controller.control_state import ReplicatedControlState
from indigoworks.controller.leadership import Leadership
from indigoworks.platform.object_store import ObjectStore
from indigoworks.wire.control_pb2 import ViewReply

WRITE_INTERVAL_S = 10.0
"""Interval between writes; a router that starts from an older snapshot needs a longer delta."""


class ViewSnapshotWriter:
    """Writes the committed state as a view snapshot whenever it has changed since the last write.

    Correctness does not depend on the object: it may be missing, old, or written by an earlier
    leader. It holds committed state only, a router must not act on it before a controller has
    confirmed a view, and later changes come as a delta.
    """

    def __init__(
        self,
        state: ReplicatedControlState,
        leadership: Leadership,
        objects: ObjectStore,
        group_id: int,
        clock: Clock,
    ) -> None:
        self._state = state
        self._leadership = leadership
        self._objects = objects
        self._name = view_object_name(group_id)
        self._clock = clock
        self._written_version = 0

    async def run(self) -> None:
        """Write snapshots until cancelled."""
        while True:
            is_confirmed = self._state.settings.generation >= self._leadership.generation
            is_changed = self._state.version != self._written_version
            if is_confirmed and is_changed and self._leadership.may_grant():
                await self._write()
            await self._clock.sleep(WRITE_INTERVAL_S)

    async def _write(self) -> None:
        version = self._state.version
        view = ViewReply(
            version=version,
            generation=self._leadership.generation,
            snapshot=self._state.to_message(),
        )
        written = await self._objects.put(self._name, view.SerializeToString())
        if written.is_ok():
            self._written_version = version
        else:
            kind = written.unwrap_err().kind
            log_message(message_type="views:object_not_written", version=version, kind=kind)
