"""A deployment whose processes reach each other through a relay only."""

from collections.abc import Sequence
from dataclasses import replace

from indigoworks.common.address import Address
from indigoworks_lab.launcher.deployment_plan import DeploymentPlan
from indigoworks_lab.link_relay.relay_destination import RelayDestination

LISTEN_HOST = "127.0.0.2"
"""The processes listen here; the relay listens on the same ports of the address they tell."""


def relayed_plan(plan: DeploymentPlan) -> DeploymentPlan:
    """Return `plan` with the processes listening at LISTEN_HOST, and told at the old addresses."""
    return replace(
        plan,
        controllers=tuple(replace(each, http=_behind(each.http)) for each in plan.controllers),
        routers=tuple(replace(each, http=_behind(each.http)) for each in plan.routers),
        servers=tuple(
            replace(each, http=_behind(each.http), listed=each.http) for each in plan.servers
        ),
    )


def relay_destinations(plan: DeploymentPlan) -> Sequence[RelayDestination]:
    """Return the destinations of a relayed plan: control ports and back ends."""
    programs = [
        *((each.name, each.control) for each in plan.controllers),
        *((each.name, each.control) for each in plan.routers),
    ]
    servers = [
        RelayDestination(each.name, each.listed or each.http, each.http) for each in plan.servers
    ]
    return [*(RelayDestination(name, at, _behind(at)) for name, at in programs), *servers]


def _behind(address: Address) -> Address:
    return Address(LISTEN_HOST, address.port)
