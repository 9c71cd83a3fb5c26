"""The lagging readings behind the probes of a stand-in back end."""

from dataclasses import replace

from indigoworks.common.clock import Clock
from indigoworks_lab.backend.probe_report import ProbeReport
from indigoworks_lab.backend.slots import Slots
from indigoworks_lab.backend.stand_in_faults import StandInFaults


class ProbeView:
    """Refreshes its reading only once it is older than the lag, and lies where told to."""

    def __init__(self, clock: Clock, slots: Slots, lag_s: float) -> None:
        self._clock = clock
        self._slots = slots
        self._lag_s = lag_s
        self._read_s = float("-inf")
        self._reading = ProbeReport(True, 0, 0)

    def report(self, faults: StandInFaults, is_draining: bool) -> ProbeReport:
        """Return what a probe tells now."""
        now_s = self._clock.now()
        if now_s - self._read_s >= self._lag_s:
            self._read_s = now_s
            self._reading = ProbeReport(not is_draining, self._slots.busy, self._slots.queue_length)
        told = self._reading
        if faults.lies_about_health:
            told = replace(told, is_healthy=True)
        if faults.lies_about_load:
            told = replace(told, busy_slots=0, queue_length=0)
        return told
