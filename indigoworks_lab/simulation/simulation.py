"""What all parts of one simulated run share."""

from dataclasses import dataclass
from random import Random

from indigoworks_lab.simulation.core.faulty_loop import FaultyLoop
from indigoworks_lab.simulation.core.faulty_network import FaultyNetwork
from indigoworks_lab.simulation.workload.recorder import Recorder


@dataclass(frozen=True)
class Simulation:
    """Loop, network, histories and the seed of one run."""

    seed: int
    loop: FaultyLoop
    network: FaultyNetwork
    recorder: Recorder

    def random(self, purpose: str) -> Random:
        """Return random numbers of their own for one purpose; equal in every run of the seed."""
        return Random(f"{self.seed}:{purpose}")

    def now_s(self) -> float:
        """Return the true time, in seconds since the run began."""
        return self.loop.time()
