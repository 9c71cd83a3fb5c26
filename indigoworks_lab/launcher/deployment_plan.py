"""What a deployment on loopback consists of."""

from dataclasses import dataclass

from indigoworks.common.address import Address
from indigoworks_lab.launcher.controller_plan import ControllerPlan
from indigoworks_lab.launcher.router_plan import RouterPlan
from indigoworks_lab.launcher.server_plan import ServerPlan


@dataclass(frozen=True)
class DeploymentPlan:
    """Addresses and zones of all processes."""

    platform: Address
    controllers: tuple[ControllerPlan, ...]
    routers: tuple[RouterPlan, ...]
    servers: tuple[ServerPlan, ...]

    @property
    def platform_url(self) -> str:
        """Return the base URL of the platform."""
        return f"http://{self.platform}"

    @property
    def controller_list(self) -> str:
        """Return the control addresses of the controllers, separated by commas."""
        return ",".join(str(controller.control) for controller in self.controllers)
