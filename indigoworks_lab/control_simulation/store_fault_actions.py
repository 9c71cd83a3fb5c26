"""Faults of the store."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from indigoworks_lab.control_simulation.control_deployment import ControlDeployment
from indigoworks_lab.control_simulation.fault_kind import FaultKind
from indigoworks_lab.control_simulation.store_faults import StoreState

SLOW_S = 1.2
LOST_RATIO = 0.3
LATE_RATIO = 0.4


class StoreFaultActions:
    """Begins and ends a fault of the store."""

    def __init__(self, deployment: ControlDeployment) -> None:
        self._faults = deployment.store.faults
        self._rows = deployment.store.rows

    async def act(self, kind: FaultKind, duration_s: float) -> None:
        """Let a fault act for its time."""
        async with self._acting(kind):
            await asyncio.sleep(duration_s)

    @asynccontextmanager
    async def _acting(self, kind: FaultKind) -> AsyncIterator[None]:
        faults = self._faults
        if kind is FaultKind.STORE_SILENT:
            faults.state = StoreState.SILENT
        elif kind is FaultKind.STORE_REFUSING:
            faults.state = StoreState.REFUSING
        elif kind is FaultKind.STORE_SLOW:
            faults.slow_s = SLOW_S
        elif kind is FaultKind.STORE_LOSES_ANSWERS:
            faults.lost_ratio = LOST_RATIO
        elif kind is FaultKind.STORE_WRITES_LATE:
            faults.late_ratio = LATE_RATIO
        else:
            self._rows.forget_history()
        yield
        if kind in (FaultKind.STORE_SILENT, FaultKind.STORE_REFUSING):
            faults.state = StoreState.UP
        elif kind is FaultKind.STORE_SLOW:
            faults.slow_s = 0.0
        elif kind is FaultKind.STORE_LOSES_ANSWERS:
            faults.lost_ratio = 0.0
        elif kind is FaultKind.STORE_WRITES_LATE:
            faults.late_ratio = 0.0
