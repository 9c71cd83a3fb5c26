"""Faults of the store."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from indigoworks.rowstore.row import Row
from indigoworks_lab.control_simulation.control_deployment import ControlDeployment
from indigoworks_lab.control_simulation.fault_kind import FaultKind
from indigoworks_lab.control_simulation.server_entry import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
)
from indigoworks_lab.control_simulation.store_faults import StoreState

CLOCK_JUMP_S = 20.0
"""By so much the steady clock of a store process that starts again differs from the one before."""

SLOW_S = 1.2
LOST_RATIO = 0.3
LATE_RATIO = 0.4
CHANGE_PERIOD_S = 0.5
OLDER_RATIO = 0.4
AWAY_S = (0.2, 3.0)
"""Time for which the store is away before it comes back from a copy."""

WRITES_AGAIN_S = (0.2, 1.5)
"""Time after which the operator has written its newest configuration again."""


class StoreFaultActions:
    """Begins and ends a fault of the store."""

    def __init__(self, deployment: ControlDeployment) -> None:
        self._faults = deployment.store.faults
        self._deployment = deployment
        self._rows = deployment.store.rows
        self._random = deployment.random("configuration")
        self._return_random = deployment.random("store returns")

    async def act(self, kind: FaultKind, duration_s: float) -> None:
        """Let a fault act for its time."""
        if kind is FaultKind.CONFIGURATION_CHANGES:
            await self._change_configuration(duration_s)
            return
        if kind is FaultKind.STORE_RETURNS_FROM_COPY:
            await self._return_from_copy(duration_s)
            return
        if kind is FaultKind.STORE_CLOCK_JUMPS_FORWARD:
            self._faults.clock_jump_s += CLOCK_JUMP_S
            return
        if kind is FaultKind.STORE_CLOCK_JUMPS_BACKWARD:
            self._faults.clock_jump_s -= CLOCK_JUMP_S
            return
        async with self._acting(kind):
            await asyncio.sleep(duration_s)

    async def _change_configuration(self, duration_s: float) -> None:
        """Write configurations; now and then an operator's late write brings an older one back."""
        version = 1
        for _ in range(int(duration_s / CHANGE_PERIOD_S)):
            await asyncio.sleep(CHANGE_PERIOD_S)
            written = version
            if version > 1 and self._random.random() < OLDER_RATIO:
                written = self._random.randint(1, version - 1)
            else:
                version = written = version + 1
            self._rows.put(CONFIGURATION_TABLE, CONFIGURATION_KEY, str(written).encode())

    async def _return_from_copy(self, age_s: float) -> None:
        """Copy the rows, go away after `age_s`, and come back from the copy."""
        copy = self._rows.copy()
        await asyncio.sleep(age_s)
        states = (StoreState.SILENT, StoreState.REFUSING)
        self._faults.state = self._return_random.choice(states)
        await asyncio.sleep(self._return_random.uniform(*AWAY_S))
        newest = self._rows.row(CONFIGURATION_TABLE, "", CONFIGURATION_KEY)
        self._rows.return_to(copy)
        self._deployment.audit.returned(copy.version)
        self._deployment.recovery.note_returned()
        self._deployment.fleet.note_return()
        self._faults.state = StoreState.UP
        await asyncio.sleep(self._return_random.uniform(*WRITES_AGAIN_S))
        self._write_again(newest)

    def _write_again(self, newest: Row | None) -> None:
        """Write what the operator wrote last, unless it has written something newer since."""
        known = self._rows.row(CONFIGURATION_TABLE, "", CONFIGURATION_KEY)
        if newest is not None and (known is None or int(known.value) < int(newest.value)):
            self._rows.put(CONFIGURATION_TABLE, CONFIGURATION_KEY, newest.value)

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
        elif kind is FaultKind.STORE_WRITES_AFTER_RETURN:
            faults.is_holding_writes = True
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
        elif kind is FaultKind.STORE_WRITES_AFTER_RETURN:
            faults.is_holding_writes = False
