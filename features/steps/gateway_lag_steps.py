"""Steps on feeds that fall behind, and on servers whose address another one has taken."""

from behave import given, then, when

from indigoworks.exchange.lag_monitor import LagMonitor
from indigoworks.servers.replacement_evidence import ReplacementEvidence

STEP_S = 0.1


class SteppedClock:
    """A clock that the steps move on."""

    def __init__(self):
        self.at_s = 0.0

    def now(self):
        return self.at_s


@given("a gateway lag watch at version {version:d}")
def step_watch(context, version):
    context.lag_clock = SteppedClock()
    context.lag_asked = []
    context.lag_monitor = LagMonitor(
        "group", lambda: version, lambda: context.lag_asked.append(1), context.lag_clock
    )


@when("a gateway peer says version {version:d} for {duration_s:g} s")
def step_says(context, version, duration_s):
    for _ in range(round(duration_s / STEP_S)):
        context.lag_clock.at_s += STEP_S
        context.lag_monitor.record_version("gw-2", version)


@then("the gateway feed was asked anew {count:d} times")
def step_asked(context, count):
    assert len(context.lag_asked) == count, len(context.lag_asked)


@when('gateway server "{by_id}" answers at the address of "{server_id}"')
def step_answers(context, by_id, server_id):
    servers = context.gateway_list
    servers.record_replaced(servers.get(server_id), by_id, ReplacementEvidence.REQUEST)


@then('gateway server "{server_id}" is known to have ended')
def step_gone(context, server_id):
    assert context.gateway_list.is_gone(server_id)


@then('gateway server "{server_id}" is not known to have ended')
def step_not_gone(context, server_id):
    assert not context.gateway_list.is_gone(server_id)
