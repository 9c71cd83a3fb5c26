"""A server gets a key only when no other works on it under a lease that still runs."""

import asyncio
from collections.abc import Callable, Iterable

from indigoworks.ownership.key_grant import KeyGrant
from indigoworks_lab.control_simulation.simulated_server import SimulatedServer
from indigoworks_lab.control_simulation.violation_list import ViolationList

CHECKER = "work"


class WorkChecker:
    """Looks at the requests that other servers work on when a server takes keys."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        up_servers: Callable[[], Iterable[SimulatedServer]],
        violations: ViolationList,
    ) -> None:
        self._loop = loop
        self._up_servers = up_servers
        self._violations = violations

    def taking(self, server: SimulatedServer, grant: KeyGrant) -> None:
        """A server takes a grant that counts; `server` shows its state before."""
        now_s = self._loop.time()
        for other in self._up_servers():
            if other is server:
                continue
            for work in other.running:
                is_inside = grant.first <= work.key <= grant.last
                if is_inside and work.lease.counted_until_s > now_s and not server.holds(work.key):
                    self._violations.add(
                        CHECKER,
                        f"{server.server_id} gets key {work.key} under {grant.token} while"
                        f" {other.server_id} works on it under {work.lease.token}, whose lease"
                        f" has {work.lease.counted_until_s - now_s:.2f} s left",
                    )
