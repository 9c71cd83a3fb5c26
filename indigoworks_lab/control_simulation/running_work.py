"""A request that a server works on."""

import asyncio
from dataclasses import dataclass

from indigoworks_lab.control_simulation.held_keys import HeldKeys


@dataclass(eq=False, slots=True)
class RunningWork:
    """Work on one key; `done` is set when it ends, also by the end of its lease.

    :ivar lease: what it runs under; after a release nothing lengthens it.
    """

    key: int
    lease: HeldKeys
    done: asyncio.Event
