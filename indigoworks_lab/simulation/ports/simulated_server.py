"""One run of a back end on a simulated host."""

from indigoworks.common.address import Address
from indigoworks_lab.simulation.core.host_clock import HostClock
from indigoworks_lab.simulation.core.simulated_process import SimulatedProcess
from indigoworks_lab.simulation.ports.recording_server import RecordingServer


class SimulatedServer:
    """A process, its clock and the stand-in that runs in it.

    :ivar is_leaving: it was told to drain.
    """

    def __init__(
        self, process: SimulatedProcess, address: Address, clock: HostClock, core: RecordingServer
    ) -> None:
        self.process = process
        self.address = address
        self.clock = clock
        self.core = core
        self.is_leaving = False

    def kill(self, is_silent: bool) -> None:
        """End the process at once."""
        self.process.kill(is_silent)
        self.core.end_ownership()
