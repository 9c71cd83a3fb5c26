"""Steps on the clock of a gateway process."""

import time
from unittest.mock import patch

from behave import given, then, when
from platform_folder_store_stand_in import FOLDER  # noqa: F401 - makes gateway_process importable

# isort: split
import gateway_process

from indigoworks.gateway import gateway
from indigoworks.ownership.leader_lease import LEADER_LEASE_S


@given("a gateway process clock, and a proof of leadership that it has just read")
def step_proof(context):
    assert gateway_process.BootClock is gateway.BootClock
    context.gateway_clock = gateway.BootClock()
    context.gateway_proof_s = context.gateway_clock.now()


@when("the gateway clock's machine is suspended for {lost_s:g} s")
def step_suspended(context, lost_s):
    """The kernel's monotonic clock, by which the event loop goes, does not show it."""
    read = time.clock_gettime

    def read_after(clock):
        return read(clock) + (lost_s if clock == time.CLOCK_BOOTTIME else 0.0)

    with patch("time.clock_gettime", read_after):
        context.gateway_proof_age_s = context.gateway_clock.now() - context.gateway_proof_s


@then("the gateway clock shows that the proof is older than a leader's lease")
def step_older(context):
    assert context.gateway_proof_age_s > LEADER_LEASE_S, context.gateway_proof_age_s
