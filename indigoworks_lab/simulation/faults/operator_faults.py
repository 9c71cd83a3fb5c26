"""Races of operators."""

from random import Random

from indigoworks_lab.simulation.deployment import Deployment
from indigoworks_lab.simulation.faults.fault_group import EndFault, nothing_to_end
from indigoworks_lab.simulation.faults.fault_kind import FaultKind
from indigoworks_lab.simulation.workload.operators import Operators

MOST_OPERATORS = 3


class OperatorFaults:
    """Lets two or three operators change the settings at the same time."""

    def __init__(self, deployment: Deployment, operators: Operators, random: Random) -> None:
        self._deployment = deployment
        self._operators = operators
        self._random = random

    async def begin(self, kind: FaultKind) -> EndFault | None:
        """Begin a race of operators."""
        if kind is not FaultKind.OPERATORS_RACE:
            return None
        await self._operators.race(self._random.randint(2, MOST_OPERATORS))
        return nothing_to_end
