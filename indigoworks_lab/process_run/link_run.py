"""A process run whose processes reach each other through a relay."""

from collections import Counter
from collections.abc import Sequence
from typing import ClassVar

from indigoworks.common.address import Address
from indigoworks_lab.checkers.accepted_settings_kept import check_accepted_settings_kept
from indigoworks_lab.checkers.check_history import Checker
from indigoworks_lab.checkers.history.history import History
from indigoworks_lab.checkers.refused_settings import check_refused_settings
from indigoworks_lab.launcher.controller_plan import ControllerPlan
from indigoworks_lab.launcher.deployment import LAB, READY_TIMEOUT_S
from indigoworks_lab.launcher.free_ports import LOOPBACK, FreePorts
from indigoworks_lab.launcher.launcher import Launcher
from indigoworks_lab.launcher.readiness import wait_until_ready
from indigoworks_lab.launcher.router_plan import RouterPlan
from indigoworks_lab.link_relay.relay_steering import RelaySteering
from indigoworks_lab.link_relay.relayed_plan import relay_destinations, relayed_plan
from indigoworks_lab.process_run.link_stage import LinkStage
from indigoworks_lab.process_run.process_run import CHECKERS, ProcessRun, plan_process_run
from indigoworks_lab.process_run.settings_recorder import SettingsRecorder

LINK_CHECKERS = (*CHECKERS, check_refused_settings, check_accepted_settings_kept)


class LinkRun(ProcessRun):
    """A process run with a relay between all processes of the system.

    Callers, operators and recorders reach the processes directly, so that they see both sides.
    """

    checkers: ClassVar[Sequence[Checker]] = LINK_CHECKERS

    def __init__(self, launcher: Launcher, ports: FreePorts) -> None:
        super().__init__(launcher, relayed_plan(plan_process_run(ports)))
        self._relay_address = Address(LOOPBACK, ports.next_port())
        self.relay = RelaySteering(self._relay_address)
        self.settings = SettingsRecorder(self.client, [each.name for each in self.plan.routers])
        self.stages: list[LinkStage] = []

    async def start(self) -> bool:
        """Start the relay, then everything else."""
        await self._start_relay()
        return await super().start()

    def history(self) -> History:
        """Return what was recorded so far."""
        history = super().history()
        history.settings_changes = list(self.settings.changes)
        history.settings_uses = list(self.settings.uses)
        return history

    def controller(self, name: str) -> ControllerPlan:
        """Return the controller with that name."""
        return next(each for each in self.plan.controllers if each.name == name)

    def other_controllers(self, name: str) -> list[ControllerPlan]:
        """Return all controllers but the one with that name."""
        return [each for each in self.plan.controllers if each.name != name]

    def router_in(self, zone: str) -> RouterPlan:
        """Return the router of a zone."""
        return next(each for each in self.plan.routers if each.zone == zone)

    async def leader_told_by(self, controller: ControllerPlan) -> str:
        """Return the name of the leader that `controller` knows; empty where it knows none."""
        answer = await self.client.get(controller.http, "/admin/v1/health")
        known = answer.body["leader"] if answer.status == 200 else None
        return "" if known is None else str(known["name"])

    async def held(self) -> Counter[str]:
        """Return, per flow, how often a cut has held something back so far."""
        counts = await self.relay.counts()
        return Counter(
            {name: each.held_pieces + each.held_connections for name, each in counts.items()}
        )

    async def _start_relay(self) -> None:
        destinations = ",".join(str(each) for each in relay_destinations(self.plan))
        address = self._relay_address
        arguments = ["relay", f"--host={address.host}", f"--port={address.port}"]
        process = self.launcher.start("relay", LAB, [*arguments, f"--destinations={destinations}"])
        url = f"http://{address}/lab/links"
        (await wait_until_ready(process, url, READY_TIMEOUT_S)).unwrap()
