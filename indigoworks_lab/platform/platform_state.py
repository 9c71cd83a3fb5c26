"""State of the stand-in of the platform."""

from random import Random

from indigoworks_lab.platform.fault_counts import FaultCounts
from indigoworks_lab.platform.machine_registry import MachineRegistry
from indigoworks_lab.platform.platform_faults import PlatformFaults
from indigoworks_lab.platform.rate_limiter import RateLimiter
from indigoworks_lab.platform.table_service import TableService


class PlatformState:
    """Rows, objects, machines and faults of one stand-in.

    :param random: chooses which answers are lost.
    :param now_s: reading of the clock at the start.
    """

    def __init__(self, random: Random, now_s: float) -> None:
        self.random = random
        self.tables = TableService()
        self.objects: dict[str, bytes] = {}
        self.machines = MachineRegistry()
        self.counts = FaultCounts()
        self.set_faults(PlatformFaults(), now_s)

    def set_faults(self, faults: PlatformFaults, now_s: float) -> None:
        """Put `faults` in force and refill the rate limiters."""
        self.faults = faults
        self.table_limiter = RateLimiter(faults.table_requests_per_s, now_s)
        self.object_limiter = RateLimiter(faults.object_requests_per_s, now_s)
