"""All processes of one simulated run."""

from indigoworks.common.address import Address
from indigoworks.platform.machine_record import MachineRecord
from indigoworks.settings.controller_settings import ControllerSettings
from indigoworks.settings.router_settings import RouterSettings
from indigoworks_lab.backend.stand_in_identity import StandInIdentity
from indigoworks_lab.backend.stand_in_profile import StandInProfile
from indigoworks_lab.simulation.controller_host import ControllerHost
from indigoworks_lab.simulation.core.host_clock import HostClock
from indigoworks_lab.simulation.core.remote_call import RemoteCall
from indigoworks_lab.simulation.core.simulated_process import SimulatedProcess
from indigoworks_lab.simulation.deployment_shape import ZONES, DeploymentShape
from indigoworks_lab.simulation.ports.recording_server import RecordingServer
from indigoworks_lab.simulation.ports.simulated_backends import SimulatedBackends
from indigoworks_lab.simulation.ports.simulated_platform import SimulatedPlatform
from indigoworks_lab.simulation.ports.simulated_server import SimulatedServer
from indigoworks_lab.simulation.router_host import RouterHost
from indigoworks_lab.simulation.simulation import Simulation

CONTROL_PORT = 7000
HTTP_PORT = 8000
PLATFORM_HOST = "10.9.0.1"
PLATFORM_URL = f"http://{PLATFORM_HOST}:9000"
SEED_HOSTS = 3
"""Controllers that the process settings name; all others are found by the machine list."""

SERVICE_MEDIANS_S = (0.004, 0.02, 0.1, 0.25)
"""Medians of the service time, one drawn per server: slow ones have requests in progress at most
moments, so that faults and handovers meet them."""

FIRST_FREE_POSITION = 30
"""Position of the first machine that replaces a lost one; a multiple of the number of zones."""


class Deployment:
    """Starts, replaces and lists the processes; the platform's list follows, with its lag.

    :ivar controllers, routers, servers: the newest run of each, by name; ended ones included.
    """

    def __init__(self, simulation: Simulation, shape: DeploymentShape) -> None:
        self.simulation = simulation
        self.shape = shape
        self.controllers: dict[str, ControllerHost] = {}
        self.routers: dict[str, RouterHost] = {}
        self.servers: dict[str, SimulatedServer] = {}
        self.platform_calls = RemoteCall(simulation.random("platform calls"))
        self.control_calls = RemoteCall(simulation.random("control calls"))
        self.request_calls = RemoteCall(simulation.random("request calls"))
        self._random = simulation.random("deployment")
        self._incarnations = 0
        self._positions: dict[str, int] = {}
        self._last_position = FIRST_FREE_POSITION - len(ZONES)
        process = SimulatedProcess(simulation.loop, "platform", PLATFORM_HOST, "")
        self.platform = SimulatedPlatform(
            process, self.platform_calls, simulation.random("platform")
        )
        self.backends = SimulatedBackends(self.control_calls, self.request_calls)

    def start(self) -> None:
        """Start everything."""
        for position in range(self.shape.controllers):
            self.start_controller(f"controller-{position + 1}", position)
        for position in range(self.shape.routers):
            self.start_router(f"router-{position + 1}", position)
        position = 0
        for service, count in self.shape.servers:
            for number in range(count):
                self.start_server(f"{service}-{number + 1}", service, position)
                position += 1

    def start_controller(self, name: str, position: int) -> ControllerHost:
        """Start a controller, or a new run of one that has ended."""
        seeds = [f"{_host(1, seed)}:{CONTROL_PORT}" for seed in range(SEED_HOSTS)]
        settings = ControllerSettings(
            name=name,
            zone=_zone(position),
            host=_host(1, position),
            control_port=CONTROL_PORT,
            http_port=HTTP_PORT,
            platform_url=PLATFORM_URL,
            controllers=seeds,
        )
        self._positions[name] = position
        host = ControllerHost(self.simulation, settings, self.platform, self.backends)
        self.controllers[name] = host
        self._list(name, "controller", "", settings.zone, settings.host, CONTROL_PORT)
        host.start()
        return host

    def start_router(self, name: str, position: int) -> RouterHost:
        """Start a router, or a new run of one that has ended."""
        seeds = [f"{_host(1, seed)}:{CONTROL_PORT}" for seed in range(SEED_HOSTS)]
        settings = RouterSettings(
            name=name,
            zone=_zone(position),
            host=_host(2, position),
            control_port=CONTROL_PORT,
            http_port=HTTP_PORT,
            platform_url=PLATFORM_URL,
            controllers=seeds,
        )
        self._positions[name] = position
        host = RouterHost(self.simulation, settings, self.platform, self.backends)
        self.routers[name] = host
        self._list(name, "router", "", settings.zone, settings.host, CONTROL_PORT)
        host.start()
        return host

    def start_server(self, name: str, service: str, position: int) -> SimulatedServer:
        """Start a back end, or a new run of one that has ended."""
        simulation = self.simulation
        host = _host(3, position)
        zone = _zone(position)
        self._positions[name] = position
        process = SimulatedProcess(simulation.loop, name, host, zone)
        random = simulation.random(f"server:{process.number}")
        clock = HostClock(simulation.loop, random)
        self._incarnations += 1
        identity = StandInIdentity(name, f"{name}#{self._incarnations}", service, zone)
        profile = StandInProfile(
            service_median_s=random.choice(SERVICE_MEDIANS_S), cold_requests=10, cold_factor=2.0
        )
        core = RecordingServer(
            identity, profile, clock, random, simulation.recorder, process.number
        )
        server = SimulatedServer(process, Address(host, HTTP_PORT), clock, core)
        self.servers[name] = server
        self.backends.add(server)
        self._list(name, "server", service, zone, host, HTTP_PORT)
        return server

    def position_of(self, name: str) -> int:
        """Return the position that a process was started at; it decides host and zone."""
        return self._positions[name]

    def free_position(self, name: str) -> int:
        """Return a position on a new host, in the zone of the process called `name`."""
        self._last_position += len(ZONES)
        return self._last_position + self._positions[name] % len(ZONES)

    def unlist(self, name: str) -> None:
        """Take a machine off the platform's list."""
        self.platform.unlist_machine(name)

    def leader(self) -> ControllerHost | None:
        """Return the controller that leads under its leader lease, if one does."""
        for host in self.controllers.values():
            if host.is_leading:
                return host
        return None

    def hosts_of_zone(self, zone: str) -> list[str]:
        """Return the hosts of all processes that were started in `zone`."""
        processes = [
            *(host.process for host in self.controllers.values()),
            *(host.process for host in self.routers.values()),
            *(server.process for server in self.servers.values()),
        ]
        return [process.host for process in processes if process.zone == zone]

    def _list(self, name: str, role: str, service: str, zone: str, host: str, port: int) -> None:
        self.platform.list_machine(MachineRecord(name, role, service, zone, host, port))


def _zone(position: int) -> str:
    return ZONES[position % len(ZONES)]


def _host(role_number: int, position: int) -> str:
    return f"10.{position % len(ZONES) + 1}.{role_number}.{position + 1}"
