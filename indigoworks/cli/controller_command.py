"""The command `indigoworks controller`."""

from random import Random

from result import Result

from indigoworks.admin.health_report import HealthReport
from indigoworks.admin.http_handlers import admin_http_handlers
from indigoworks.backend.http_backend_control import HttpBackendControl
from indigoworks.cli.administration_server import AdministrationServer
from indigoworks.cli.pending_command import Report
from indigoworks.cli.process_flags import ProcessFlags
from indigoworks.cli.run_process import run_process
from indigoworks.cli.run_with_settings import run_with_settings
from indigoworks.cli.stop_state import StopState
from indigoworks.common.clock import LoopClock
from indigoworks.common.errors import IndigoworksError
from indigoworks.controller.controller import Controller
from indigoworks.controller.controller_ports import ControllerPorts
from indigoworks.platform.http_machine_list import HttpMachineList
from indigoworks.platform.http_object_store import HttpObjectStore
from indigoworks.platform.http_requests import PlatformHttpRequests
from indigoworks.platform.http_table_store import HttpTableStore
from indigoworks.settings.controller_settings import ControllerSettings


def run_controller(flags: ProcessFlags) -> Result[Report, IndigoworksError]:
    """Load the settings and run a controller until a stop signal."""
    return run_with_settings(flags, ControllerSettings, _serve)


async def _serve(settings: ControllerSettings, random: Random) -> Result[Report, IndigoworksError]:
    controller = Controller(settings, _ports(settings), random)
    stop = StopState()
    rules = admin_http_handlers(
        controller.administration, controller.metrics.registry, lambda: _health(controller, stop)
    )
    http = AdministrationServer(controller, settings.http_address, rules)
    return await run_process(controller, http, settings, stop)


def _ports(settings: ControllerSettings) -> ControllerPorts:
    clock = LoopClock()
    platform = PlatformHttpRequests(settings.platform_url)
    return ControllerPorts(
        clock=clock,
        table=HttpTableStore(platform),
        objects=HttpObjectStore(platform),
        machines=HttpMachineList(platform),
        backends=HttpBackendControl(clock),
    )


def _health(controller: Controller, stop: StopState) -> HealthReport:
    if stop.is_stopping:
        return HealthReport(False, "The process is stopping.")
    if controller.node.status.leader is None:
        return HealthReport(False, "No leader is known.")
    return HealthReport(True)
