"""The command `indigoworks router`."""

from random import Random

from result import Result

from indigoworks.admin.health_report import HealthReport
from indigoworks.admin.http_handlers import admin_http_handlers
from indigoworks.backend.http_backend_requests import HttpBackendRequests
from indigoworks.cli.pending_command import Report
from indigoworks.cli.process_flags import ProcessFlags
from indigoworks.cli.run_process import run_process
from indigoworks.cli.run_with_settings import run_with_settings
from indigoworks.cli.stop_state import StopState
from indigoworks.common.clock import LoopClock
from indigoworks.common.errors import IndigoworksError
from indigoworks.platform.http_machine_list import HttpMachineList
from indigoworks.platform.http_object_store import HttpObjectStore
from indigoworks.platform.http_requests import PlatformHttpRequests
from indigoworks.router.http_server import RouterHttpServer
from indigoworks.router.router import Router
from indigoworks.router.router_ports import RouterPorts
from indigoworks.settings.router_settings import RouterSettings


def run_router(flags: ProcessFlags) -> Result[Report, IndigoworksError]:
    """Load the settings and run a router until a stop signal."""
    return run_with_settings(flags, RouterSettings, _serve)


async def _serve(settings: RouterSettings, random: Random) -> Result[Report, IndigoworksError]:
    router = Router(settings, _ports(settings), random)
    stop = StopState()
    rules = admin_http_handlers(
        router.administration, router.metrics.registry, lambda: _health(router, stop)
    )
    http = RouterHttpServer(router, settings.http_address, rules)
    return await run_process(router, http, settings, stop)


def _ports(settings: RouterSettings) -> RouterPorts:
    clock = LoopClock()
    platform = PlatformHttpRequests(settings.platform_url)
    return RouterPorts(
        clock=clock,
        machines=HttpMachineList(platform),
        backends=HttpBackendRequests(clock),
        objects=HttpObjectStore(platform),
    )


def _health(router: Router, stop: StopState) -> HealthReport:
    if stop.is_stopping or router.is_stopping:
        return HealthReport(False, "The process is stopping.")
    if router.in_force() is None:
        return HealthReport(False, "The router has no view in force.")
    return HealthReport(True)
