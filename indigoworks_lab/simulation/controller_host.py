"""A simulated machine with a controller on it."""

from indigoworks.controller.control_state import ReplicatedControlState
from indigoworks.controller.controller import Controller
from indigoworks.controller.controller_ports import ControllerPorts
from indigoworks.settings.controller_settings import ControllerSettings
from indigoworks_lab.simulation.core.host_clock import HostClock
from indigoworks_lab.simulation.core.simulated_process import SimulatedProcess
from indigoworks_lab.simulation.ports.backend_ports import BackendPorts
from indigoworks_lab.simulation.ports.platform_ports import PlatformPorts
from indigoworks_lab.simulation.ports.simulated_backends import SimulatedBackends
from indigoworks_lab.simulation.ports.simulated_platform import SimulatedPlatform
from indigoworks_lab.simulation.simulation import Simulation


class ControllerHost:
    """One run of a controller. A restart is another one, with an empty memory."""

    def __init__(
        self,
        simulation: Simulation,
        settings: ControllerSettings,
        platform: SimulatedPlatform,
        backends: SimulatedBackends,
    ) -> None:
        self.settings = settings
        self.is_stopping = False
        self.process = SimulatedProcess(
            simulation.loop, settings.name, settings.host, settings.zone
        )
        random = simulation.random(f"controller:{self.process.number}")
        self.clock = HostClock(simulation.loop, random)
        platform_ports = PlatformPorts(self.process, platform)
        ports = ControllerPorts(
            clock=self.clock,
            table=platform_ports,
            objects=platform_ports,
            machines=platform_ports,
            backends=BackendPorts(self.process, backends),
        )
        self.controller = Controller(settings, ports, random)

    def start(self) -> None:
        """Start the controller in its process."""
        self.process.spawn(self.controller.start())

    @property
    def control_state(self) -> ReplicatedControlState:
        """The state that the controller has applied; read by samplers only."""
        return self.controller._state

    @property
    def is_leading(self) -> bool:
        """Tell whether it leads and can show so at this moment."""
        return self.process.is_alive and self.controller.node.holds_lease()
