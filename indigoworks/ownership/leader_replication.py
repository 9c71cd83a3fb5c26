"""What a leader runs beside its grants, so that its successor knows which of them are open."""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Protocol

from indigoworks.common.clock import Clock
from indigoworks.common.supervision import Work, supervise
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
        self,
        replicator: GrantReplicator,
        supervisor: WitnessSupervisor,
        fence: PredecessorFence,
        clock: Clock,
    ) -> None:
        self._replicator = replicator
        self._supervisor = supervisor
        self._fence = fence
        self._clock = clock
        self._tasks: list[asyncio.Task[None]] = []

    def start(
        self, epoch: int, predecessor: LeaderRow | None, on_predecessor_grants: OnGrants
    ) -> None:
        """Start the tasks of an epoch."""
        self._replicator.start_epoch(epoch)
        parts: list[tuple[str, Work]] = [
            ("grant_replicator", self._replicator.run),
            ("witness_supervisor", self._supervisor.run),
        ]
        if predecessor is not None:
            fence = partial(self._fence_predecessor, predecessor, on_predecessor_grants)
            parts.append(("predecessor_fence", fence))
        self._tasks = [
            asyncio.ensure_future(supervise(name, work, self._clock)) for name, work in parts
        ]

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
