"""Steps on the lease of a back end in a simulated deployment."""

import asyncio
from itertools import pairwise

from behave import then, when

from indigoworks.controller.lease_timing import RENEWAL_INTERVAL_S, RENEWAL_TIMEOUT_S

FROZEN_S = 0.6
LOOKS = 400
LOOK_S = 0.005
RETURN_S = 0.02
"""Time for what waited in the frozen server to be done."""


class RenewalRecord:
    """Notes the ends of the lease that a server is sent, on the server's clock."""

    def __init__(self, core):
        self.ends_s = []
        self._taken = asyncio.Event()
        self._renew = core.renew
        core.renew = self.renew

    def renew(self, renewal):
        self.ends_s.append(renewal.valid_until_s)
        self._taken.set()
        return self._renew(renewal)

    async def next_taken(self):
        self._taken.clear()
        await self._taken.wait()


@when("one of its servers is frozen for 0.6 s from {offset:f} s after a renewal on")
def step_freeze_server(context, offset):
    script = context.script
    server = script.deployment.servers["stock-1"]
    context.renewals = RenewalRecord(server.core)

    async def freeze():
        await context.renewals.next_taken()
        await asyncio.sleep(offset)
        server.process.freeze()
        await asyncio.sleep(FROZEN_S)
        server.process.thaw()
        await asyncio.sleep(RETURN_S)
        context.has_lease = []
        for _ in range(LOOKS):
            context.has_lease.append(server.core._grants.has_lease(server.clock.now()))
            await asyncio.sleep(LOOK_S)

    script.run(freeze())


@then("exactly one renewal of the frozen server went without an answer")
def step_one_failed(context):
    # The end follows the newest reading of the server's clock, which comes with an answer.
    steps_s = [later - earlier for earlier, later in pairwise(sorted(set(context.renewals.ends_s)))]
    one_failed_s = RENEWAL_INTERVAL_S + RENEWAL_TIMEOUT_S
    assert [each > one_failed_s for each in steps_s].count(True) == 1, steps_s
    assert max(steps_s) < one_failed_s + RENEWAL_TIMEOUT_S + RENEWAL_INTERVAL_S, steps_s


@then("no look within 2 s of its return finds the server without its lease")
def step_has_lease(context):
    without = [round(at * LOOK_S, 3) for at, has in enumerate(context.has_lease) if not has]
    assert not without, f"without a lease at these seconds after its return: {without}"
