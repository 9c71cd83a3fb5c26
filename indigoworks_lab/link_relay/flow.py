"""One direction between two processes."""

import asyncio

from indigoworks_lab.link_relay.flow_counts import FlowCounts
from indigoworks_lab.link_relay.flow_faults import FlowFaults


class Flow:
    """The bytes from one process to another, over all their connections, whoever opened these."""

    def __init__(self) -> None:
        self.counts = FlowCounts()
        self._faults = FlowFaults()
        self._open = asyncio.Event()
        self._open.set()

    @property
    def faults(self) -> FlowFaults:
        """Return the faults in force."""
        return self._faults

    def set_faults(self, faults: FlowFaults) -> None:
        """Put `faults` in force; bytes that wait go on when the cut ends."""
        self._faults = faults
        if faults.is_cut:
            self._open.clear()
        else:
            self._open.set()

    async def wait_open(self) -> None:
        """Wait until the flow is not cut."""
        # A cut may come again between the end of the last one and this task's turn.
        while self._faults.is_cut:
            await self._open.wait()

    async def admit(self, size_bytes: int) -> None:
        """Wait until a piece of `size_bytes` may pass; 0 for the end of a connection."""
        if self._faults.delay_s:
            await asyncio.sleep(self._faults.delay_s)
        if self._faults.is_cut:
            self.counts.held_pieces += 1
        await self.wait_open()
        self.counts.passed_bytes += size_bytes
