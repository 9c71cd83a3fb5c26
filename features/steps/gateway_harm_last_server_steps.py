"""Steps on requests that crash all servers of a small service."""

import asyncio

from behave import given, then
from eliot import add_destinations, remove_destination
from gateway_crash_steps import ended_under, harmful_target
from gateway_log_steps import drop_earlier_messages

from indigoworks_lab.crash_simulation.crash_shape import CrashShape
from indigoworks_lab.crash_simulation.path_cuts import PathCut

CONTACT_S = 3.0
CRASHES = 3
SERVED = 200
HEARTBEAT_S = 1.3
PAGE = "/scheduler/page"


@given("{gateways:d} crash gateways before {servers:d} servers of one service {keys} keys")
def step_one_service(context, gateways, servers, keys):
    services = (("scheduler", keys == "with"),)
    context.crash_shape = CrashShape(gateways=gateways, servers=servers, services=services)
    context.crash_scripts = []


@given("the entries of all servers lapse in each cut")
def step_entries_lapse(context):
    context.entries_lapse = True
    context.resolved = []
    drop_earlier_messages(context)

    def keep(message):
        if message.get("message_type") == "server:losses_resolved":
            context.resolved.append(message)

    add_destinations(keep)
    context.add_cleanup(remove_destination, keep)


@given(
    "{cuts:d} cuts of all gateways from the servers, one each {gap_s:g} s, that refuse connections "
    "for {duration_s:g} s"
)
def step_cuts(context, cuts, gap_s, duration_s):
    async def cut_all(simulation, callers):
        for _ in range(cuts):
            await asyncio.sleep(gap_s - duration_s)
            simulation.path_cuts.begin(list(simulation.gateways), PathCut.REFUSED)
            if getattr(context, "entries_lapse", False):
                await lapse(simulation, duration_s)
            else:
                await asyncio.sleep(duration_s)
            simulation.path_cuts.heal()
        context.last_cut_s = asyncio.get_running_loop().time()
        await asyncio.sleep(6 * HEARTBEAT_S)
        context.kept_losses = [
            each.side.unresolved_losses.count() for each in simulation.living_gateways()
        ]

    async def beat(simulation, callers):
        for _ in range(int((cuts * gap_s + 6 * HEARTBEAT_S) / HEARTBEAT_S)):
            await asyncio.sleep(HEARTBEAT_S)
            for machine in simulation.machines.values():
                simulation.write_entry(machine)

    context.crash_scripts += [cut_all, beat]


async def lapse(simulation, duration_s):
    """Take the entries of all servers out for most of a cut."""
    await asyncio.sleep(duration_s / 4)
    for gateway in simulation.living_gateways():
        for machine in simulation.machines.values():
            gateway.platform.servers.remove(machine.server_id)
    await asyncio.sleep(duration_s / 2)
    for machine in simulation.machines.values():
        simulation.write_entry(machine)
    await asyncio.sleep(duration_s / 4)


@then("no gateway counted a crash")
def step_no_crash(context):
    counts = [each.side.quarantine.count_watched() for each in context.crash.living_gateways()]
    refused = [each.side.quarantine.count_refused() for each in context.crash.living_gateways()]
    resolved = [line for line in context.resolved if line["outcome"] != "alive"]
    assert not any(counts + refused) and not resolved, (counts, refused, resolved)


@then(
    "at most {count:d} runs of the request to {service} began later than {contact_s:g} s after it "
    "had ended three"
)
def step_late_runs(context, count, service, contact_s):
    target = harmful_target(service)
    runs = [each.began_s for each in context.crash.runs() if each.target == target]
    assert len(runs) >= CRASHES, ended_under(context, target)
    third_s = runs[CRASHES - 1] + context.crash_shape.crash_s
    late = [each for each in runs if each > third_s + contact_s]
    assert len(late) <= count, (third_s, late)


@then("the page was served after the last cut")
def step_page_served(context):
    answers = [
        (each.status, each.text)
        for each in context.crash.answers
        if each.target == PAGE and each.sent_s > context.last_cut_s + 1.0
    ]
    failed = [each for each in answers if each[0] != SERVED]
    assert answers and not failed, failed


@then("no gateway keeps a lost request")
def step_none_kept(context):
    assert not any(context.kept_losses), context.kept_losses
