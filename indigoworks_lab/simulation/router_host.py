"""A simulated machine with a router on it."""

from indigoworks.backend.owned_request import OwnedRequest
from indigoworks.router.router import Router
from indigoworks.router.router_ports import RouterPorts
from indigoworks.settings.router_settings import RouterSettings
from indigoworks_lab.checkers.history.settings_use import SettingsUse
from indigoworks_lab.simulation.core.host_clock import HostClock
from indigoworks_lab.simulation.core.simulated_process import SimulatedProcess
from indigoworks_lab.simulation.ports.backend_ports import BackendPorts
from indigoworks_lab.simulation.ports.platform_ports import PlatformPorts
from indigoworks_lab.simulation.ports.simulated_backends import SimulatedBackends
from indigoworks_lab.simulation.ports.simulated_platform import SimulatedPlatform
from indigoworks_lab.simulation.simulation import Simulation
from indigoworks_lab.simulation.workload.change_marker import marker_of


class RouterHost:
    """One run of a router. A restart is another one, with an empty memory."""

    def __init__(
        self,
        simulation: Simulation,
        settings: RouterSettings,
        platform: SimulatedPlatform,
        backends: SimulatedBackends,
    ) -> None:
        self.settings = settings
        self.is_stopping = False
        self.process = SimulatedProcess(
            simulation.loop, settings.name, settings.host, settings.zone
        )
        self._recorder = simulation.recorder
        random = simulation.random(f"router:{self.process.number}")
        self.clock = HostClock(simulation.loop, random)
        platform_ports = PlatformPorts(self.process, platform)
        ports = RouterPorts(
            clock=self.clock,
            machines=platform_ports,
            backends=BackendPorts(self.process, backends, self._record_send),
            objects=platform_ports,
        )
        self.router = Router(settings, ports, random)

    def start(self) -> None:
        """Start the router in its process."""
        self.process.spawn(self.router.start())

    def _record_send(self, request: OwnedRequest) -> None:
        view = self.router.view
        use = SettingsUse(
            at_s=self._recorder.now_s(),
            router=self.process.name,
            router_run=self.process.number,
            version=view.settings_version if view is not None else 0,
            change_id=marker_of(view.groups) if view is not None else "",
        )
        self._recorder.history.settings_uses.append(use)
