"""What a leader runs beside its grants, so that its successor knows which of them are open."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from eliot import log_message

from indigoworks.ownership.grant_replicator import GrantReplicator
from indigoworks.ownership.leader_row import LeaderRow
from indigoworks.ownership.predecessor_fence import FencedGrants, PredecessorFence
from indigoworks.ownership.witness_supervisor import WitnessSupervisor

OnGrants = Callable[[FencedGrants], None]


class LeaderReplication(Protocol):
    """Replicates open grants during an epoch, and gets those of the previous leader."""

    def start(
        self, epoch: int, predecessor: LeaderRow | None, on_predecessor_grants: OnGrants
    ) -> None:
        """Start an epoch as leader, before the first grant.

        :param predecessor: row of the leader to fence; None: there is none in this era.
        :param on_predecessor_grants: called once if a witness of that leader knows its open grants.
        """
        ...

    async def sync_possible_holds(self) -> bool:
        """Wait until any successor learns of the possible holds recorded; False: not in time."""
        ...

    def stop(self) -> None:
        """End the epoch."""
        ...


class WitnessReplication:
    """Implements `LeaderReplication` with witnesses among the peers."""

    def __init__(
        self, replicator: GrantReplicator, supervisor: WitnessSupervisor, fence: PredecessorFence
    ) -> None:
        self._replicator = replicator
        self._supervisor = supervisor
        self._fence = fence
        self._tasks: list[asyncio.Task[None]] = []

    def start(
        self, epoch: int, predecessor: LeaderRow | None, on_predecessor_grants: OnGrants
    ) -> None:
        """Start the tasks of an epoch."""
        self._replicator.start_epoch(epoch)
        work = [self._replicator.run(), self._supervisor.run()]
        if predecessor is not None:
            work.append(self._fence_predecessor(predecessor, on_predecessor_grants))
        self._tasks = [asyncio.ensure_future(each) for each in work]
        for task in self._tasks:
            task.add_done_callback(_log_fault)

    async def sync_possible_holds(self) -> bool:
        """Wait until any successor learns of the possible holds recorded; False: not in time."""
        return await self._replicator.sync_possible_holds()

    def stop(self) -> None:
        """End the tasks."""
        for task in self._tasks:
            task.cancel()
        self._tasks = []

    async def _fence_predecessor(self, row: LeaderRow, on_grants: OnGrants) -> None:
        fenced = await self._fence.fence(row)
        if fenced is not None:
            on_grants(fenced)
            self._replicator.request_record()


def _log_fault(task: asyncio.Task[None]) -> None:
    """Log an exception, which ends the task: nothing further is granted in this epoch."""
    error = None if task.cancelled() else task.exception()
    if error is not None:
        reason = f"{type(error).__name__}: {error}"
        log_message(message_type="process:fault", level="ERROR", reason=reason)


class NoReplication:
    """Implements `LeaderReplication` where no other process can take over."""

    def start(
        self, epoch: int, predecessor: LeaderRow | None, on_predecessor_grants: OnGrants
    ) -> None:
        """Do nothing."""

    async def sync_possible_holds(self) -> bool:
        """Return True."""
        return True

    def stop(self) -> None:
        """Do nothing."""


NO_REPLICATION = NoReplication()
