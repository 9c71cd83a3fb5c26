"""What all steps of the demo share."""

from dataclasses import dataclass

from indigoworks_lab.client.json_client import JsonClient
from indigoworks_lab.client.router_caller import RouterCaller
from indigoworks_lab.demo.account import Account
from indigoworks_lab.launcher.deployment import Deployment
from indigoworks_lab.launcher.deployment_plan import DeploymentPlan


@dataclass(frozen=True)
class DemoContext:
    """The deployment under demonstration and the means to exercise it."""

    account: Account
    deployment: Deployment
    caller: RouterCaller
    client: JsonClient

    @property
    def plan(self) -> DeploymentPlan:
        """Return the plan of the deployment."""
        return self.deployment.plan
