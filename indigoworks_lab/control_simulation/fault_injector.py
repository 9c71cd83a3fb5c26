"""Lets the faults of a plan act."""

import asyncio

from indigoworks_lab.control_simulation.control_deployment import ControlDeployment
from indigoworks_lab.control_simulation.control_plan import FAULTS_S, ControlPlan
from indigoworks_lab.control_simulation.drawn_fault import DrawnFault
from indigoworks_lab.control_simulation.fault_kind import FaultKind
from indigoworks_lab.control_simulation.node_fault_actions import NodeFaultActions
from indigoworks_lab.control_simulation.server_fault_actions import ServerFaultActions
from indigoworks_lab.control_simulation.store_fault_actions import StoreFaultActions

STORE_PREFIXES = ("STORE", "CONFIGURATION")
NODE_PREFIXES = ("NODE", "LEADER", "ALL_NODES", "DATAGRAMS", "MACHINES")


class FaultInjector:
    """Runs each fault at its time; all have ended FAULTS_S after the start."""

    def __init__(self, deployment: ControlDeployment, plan: ControlPlan) -> None:
        self._plan = plan
        self._store = StoreFaultActions(deployment)
        self._nodes = NodeFaultActions(deployment)
        self._servers = ServerFaultActions(deployment)

    async def run(self) -> None:
        """Return when all faults have ended."""
        await asyncio.gather(asyncio.sleep(FAULTS_S), *(map(self._act, self._plan.faults)))

    async def _act(self, fault: DrawnFault) -> None:
        await asyncio.sleep(fault.start_s)
        await self._actions(fault.kind).act(fault.kind, fault.duration_s)

    def _actions(
        self, kind: FaultKind
    ) -> StoreFaultActions | NodeFaultActions | ServerFaultActions:
        if kind.name.startswith(STORE_PREFIXES):
            return self._store
        return self._nodes if kind.name.startswith(NODE_PREFIXES) else self._servers
