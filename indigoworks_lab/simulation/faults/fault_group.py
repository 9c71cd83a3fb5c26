"""A group of kinds of faults that act on the same things."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from indigoworks_lab.simulation.faults.fault_kind import FaultKind

EndFault = Callable[[], Awaitable[None]]


class FaultGroup(Protocol):
    """Begins faults of the kinds it knows."""

    async def begin(self, kind: FaultKind) -> EndFault | None:
        """Begin a fault.

        :returns: what ends it; None if the kind is another group's or no target exists now.
        """
        ...


async def nothing_to_end() -> None:
    """End a fault that is over as soon as it has begun."""
