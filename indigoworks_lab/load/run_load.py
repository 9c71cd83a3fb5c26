"""Runs one load against routers or one back end."""

from collections.abc import Sequence

from result import Err, Ok, Result

from indigoworks.common.address import Address
from indigoworks.common.clock import Clock
from indigoworks.common.errors import IndigoworksError
from indigoworks_lab.load.backend_target import BackendTarget
from indigoworks_lab.load.direct_lease import DirectLease
from indigoworks_lab.load.load_plan import LoadPlan
from indigoworks_lab.load.load_report import LoadReport
from indigoworks_lab.load.open_loop import OpenLoop
from indigoworks_lab.load.router_target import RouterTarget


async def load_routers(plan: LoadPlan, routers: Sequence[Address], clock: Clock) -> LoadReport:
    """Send the plan to `routers` in turn."""
    target = RouterTarget(routers, clock)
    try:
        return await OpenLoop(plan, target, clock).run()
    finally:
        target.close()


async def load_backend(
    plan: LoadPlan, backend: Address, clock: Clock
) -> Result[LoadReport, IndigoworksError]:
    """Take the lease of `backend`, which no controller may know, and send the plan to it."""
    lease = DirectLease(backend, clock)
    started = await lease.start()
    if started.is_err():
        await lease.stop()
        return Err(started.unwrap_err())
    target = BackendTarget(backend, started.unwrap(), clock)
    try:
        return Ok(await OpenLoop(plan, target, clock).run())
    finally:
        target.close()
        await lease.stop()
