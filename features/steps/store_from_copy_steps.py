"""Steps in which the store comes back from a copy."""

import asyncio

from behave import then, when

from indigoworks.ownership.control_group import CONTROL_TABLE, part_of
from indigoworks.ownership.leader_row import LEADER_KEY, LeaderRow
from indigoworks.ownership.ownership_table import OwnershipTable
from indigoworks.ownership.ownership_tables import OWNERS_PREFIX
from indigoworks_lab.control_simulation.control_deployment import ControlDeployment
from indigoworks_lab.control_simulation.control_plan import (
    CALM_S,
    ControlPlan,
    draw_plan,
    with_returns,
)
from indigoworks_lab.control_simulation.drawn_fault import DrawnFault
from indigoworks_lab.control_simulation.fault_injector import FaultInjector
from indigoworks_lab.control_simulation.fault_kind import FaultKind
from indigoworks_lab.control_simulation.request_load import RequestLoad
from indigoworks_lab.control_simulation.return_faults import RETURN, faults_beside_return
from indigoworks_lab.control_simulation.run_control_seed import (
    MAX_STEPS,
    make_control_loop,
    run_control_seed,
)
from indigoworks_lab.control_simulation.run_outside import run_outside
from indigoworks_lab.control_simulation.server_entry import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    SERVERS_TABLE,
    SERVICE,
)
from indigoworks_lab.control_simulation.traffic_counter import ORDER
from indigoworks_lab.simulation.core.disposal import dispose, silent_disposal

NODES = 3
SERVERS = 4
COPY_S = 1.0
"""Time from the calm beginning to the copy."""

SEEDS_BY_AGE_S = {1.0: 1, 3.0: 2, 6.0: 3}
"""Seeds of the runs, by the age of the copy."""

LATE_TABLE_COPY_S = 0.7
LATE_TABLE_SEEDS = range(1, 17)
BESIDE_LATE_TABLE = {
    "a server leaves": FaultKind.SERVER_DRAINING,
    "a server crashes": FaultKind.SERVER_CRASHED,
}
"""What makes the leader move keys while its writes are held back."""

REPLACED_SEEDS = range(1, 17)
REPLACED_FAULTS = (
    DrawnFault(FaultKind.LEADER_CUT_FROM_STORE, 1.0, 3.1),
    DrawnFault(FaultKind.SERVER_DRAINING, 3.4, 0.5),
    DrawnFault(RETURN, 3.2, 0.8),
)
"""The leader's newest proof is younger than its lease as the store comes back."""

CONFIGURATION = 900
NEW_CONFIGURATION_S = 0.8
LOOK_S = 0.05


@when("control simulation brings the store back from copies, and {text}")
def step_returns(context, text):
    context.reports = []
    for age_s, seed in SEEDS_BY_AGE_S.items():
        beside = faults_beside_return(text, COPY_S + age_s)
        faults = (DrawnFault(RETURN, COPY_S, age_s), *beside)
        context.reports.append(run_control_seed(seed, ControlPlan(NODES, SERVERS, faults)))


@when("control simulation draws seed {seed:d} with returns of the store from copies")
def step_drawn(context, seed):
    context.reports = [run_control_seed(seed, with_returns(draw_plan(seed), seed))]


@when("control simulation makes a table of the lost span only after the return, and {text}")
def step_table_after_return(context, text):
    context.carried = {
        seed: run(seed, BESIDE_LATE_TABLE[text], tables_around_late_one)
        for seed in LATE_TABLE_SEEDS
    }


async def tables_around_late_one(deployment, kind):
    """Return the table in force as the store went away, the one made late, and the next one."""
    faults = (
        DrawnFault(FaultKind.STORE_WRITES_AFTER_RETURN, 1.5, 0.9),
        DrawnFault(kind, 1.6, 0.5),
        DrawnFault(RETURN, 2.3, LATE_TABLE_COPY_S),
    )
    return await tables_around_return(deployment, faults)


@when("control simulation replaces a leader that is cut from the store, which then comes back")
def step_replaced(context):
    runs = {seed: run(seed, REPLACED_FAULTS, tables_after_replacement) for seed in REPLACED_SEEDS}
    context.epochs = [epoch for epoch, _ in runs.values()]
    context.carried = {seed: tables for seed, (_, tables) in runs.items()}


async def tables_after_replacement(deployment, faults):
    """Return the newest epoch before the return as well."""
    tables = await tables_around_return(deployment, faults)
    row = deployment.store.rows.row(CONTROL_TABLE, part_of(0), LEADER_KEY)
    return LeaderRow.decode(row.value, row.version).epoch, tables


@then("another one led before the return in each of the runs")
def step_was_replaced(context):
    assert all(epoch > 1 for epoch in context.epochs), context.epochs


async def tables_around_return(deployment, faults):
    """Return the table in force as the store went away, the one made late, and the next one."""
    run_outside(deployment.loop, RequestLoad(deployment).run())
    acting = asyncio.ensure_future(inject(deployment, faults))
    in_force = owners_row(deployment)
    while deployment.store.rows.era == 0:
        in_force = owners_row(deployment)
        await asyncio.sleep(LOOK_S)
    copied = former_owners_row(deployment)
    while (first := owners_row(deployment)) is None:  # noqa: ASYNC110
        await asyncio.sleep(LOOK_S)
    late = former_owners_row(deployment)
    acting.cancel()
    return tuple(None if row is copied else decoded(row) for row in (in_force, late, first))


def former_owners_row(deployment):
    return deployment.store.rows.row(CONTROL_TABLE, part_of(0), OWNERS_PREFIX + SERVICE)


def decoded(row):
    return OwnershipTable.decode(SERVICE, row.value, row.version)


@then("control simulation made such a table before the first one of the new era in {least:d} runs")
def step_table_was_made(context, least):
    made = [seed for seed, (_, late, _) in context.carried.items() if late is not None]
    assert len(made) >= least, made


@then("each key is in the new era with its last owner, or waits for that one")
def step_last_owner(context):
    lost = [
        f"seed {seed}: keys {owned.first}-{owned.last} of {owned.server_id}"
        for seed, (in_force, _, first) in context.carried.items()
        for owned in in_force.ranges
        if not is_carried(owned, first)
    ]
    assert not lost, "\n".join(lost)


def is_carried(owned, table):
    """Tell whether a later table names the owner of a range, as owner or former, for all of it."""
    parts = [each for each in table.ranges if each.first <= owned.last and owned.first <= each.last]
    return all(
        owned.server_id in (each.server_id, *(before.server_id for before in each.former))
        for each in parts
    )


@when("control simulation writes a configuration soon after the store came back from copies")
def step_configuration(context):
    context.late = [
        f"copy of {age_s} s, seed {seed}: {name}"
        for age_s, seed in SEEDS_BY_AGE_S.items()
        for name in run(seed, age_s, nodes_without_new_configuration)
    ]


async def nodes_without_new_configuration(deployment, age_s):
    """Change the configuration in the span that is lost and after it; return who is late."""
    changes = DrawnFault(FaultKind.CONFIGURATION_CHANGES, COPY_S, age_s)
    faults = (DrawnFault(RETURN, COPY_S, age_s), changes)
    returning = asyncio.ensure_future(inject(deployment, faults))
    await came_back(deployment)
    await asyncio.sleep(NEW_CONFIGURATION_S)
    value = str(CONFIGURATION).encode()
    deployment.store.rows.put(CONFIGURATION_TABLE, CONFIGURATION_KEY, value)
    await asyncio.sleep(2.0)
    returning.cancel()
    nodes = deployment.living_nodes()
    versions = {each.name: each.control.configuration_version() for each in nodes}
    return [f"{name} has {known}" for name, known in versions.items() if known != CONFIGURATION]


@then("each gateway of the control simulation had it in force within 2 s")
def step_in_force(context):
    assert not context.late, "\n".join(context.late)


@when("control simulation brings the store back from a copy in which a leaving server is ready")
def step_leaving(context):
    context.ready_again = [
        f"seed {seed}: {name}"
        for seed in SEEDS_BY_AGE_S.values()
        for name in run(seed, 2.0, ready_again)
    ]


async def ready_again(deployment, age_s):
    """Return the nodes that take a server for ready after they knew that it leaves."""
    returning = asyncio.ensure_future(inject(deployment, (DrawnFault(RETURN, COPY_S, age_s),)))
    await asyncio.sleep(COPY_S + age_s - 1.0)
    leaving = deployment.fleet.stable()[0]
    leaving.is_draining = True
    deployment.fleet.beat(leaving)
    await came_back(deployment)
    # What the copy holds stays for a while: the server writes its entry only at its next heartbeat.
    deployment.fleet.hush(leaving)
    found = set()
    for _ in range(int(2.0 / LOOK_S)):
        for node in deployment.living_nodes():
            if node.takes_for_ready(leaving.server_id):
                found.add(node.name)
        await asyncio.sleep(LOOK_S)
    returning.cancel()
    entries = deployment.store.rows.read(SERVERS_TABLE, "").rows
    assert any(each.key == leaving.server_id for each in entries)
    return sorted(found)


@when("control simulation starts all gateways of {servers:d} servers while the store comes back")
def step_many_servers(context, servers):
    context.first_table, context.orders = run(1, 3.0, first_table_of_era, servers)


async def first_table_of_era(deployment, age_s):
    """Return the first table of the new era, and the orders sent after the gateways' start."""
    kill = DrawnFault(FaultKind.ALL_NODES_KILLED, COPY_S + age_s + 0.2, 0.6)
    faults = (DrawnFault(RETURN, COPY_S, age_s), kill)
    acting = asyncio.ensure_future(inject(deployment, faults))
    await came_back(deployment)
    before = orders_of(deployment)
    while (row := owners_row(deployment)) is None:  # noqa: ASYNC110
        await asyncio.sleep(LOOK_S)
    acting.cancel()
    table = OwnershipTable.decode(SERVICE, row.value, row.version)
    return table, orders_of(deployment) - before


def owners_row(deployment):
    rows = deployment.store.rows
    return rows.row(CONTROL_TABLE, part_of(rows.era), OWNERS_PREFIX + SERVICE)


def orders_of(deployment):
    counts = deployment.traffic.messages
    return sum(count for (what, _), count in counts.items() if what == ORDER)


@then("the first table of the era names at most {most:d} former owners of each range")
def step_few_former(context, most):
    assert context.first_table.ranges
    assert max(len(each.former) for each in context.first_table.ranges) <= most


@then("the gateways sent at most {most:d} orders until it was written")
def step_few_orders(context, most):
    assert 0 < context.orders <= most, context.orders


@then("no gateway of the control simulation takes that server for ready again")
def step_not_ready(context):
    assert not context.ready_again, "\n".join(context.ready_again)


async def inject(deployment, faults):
    await FaultInjector(deployment, ControlPlan(NODES, SERVERS, faults)).run()


async def came_back(deployment):
    while deployment.store.rows.era == 0:  # noqa: ASYNC110
        await asyncio.sleep(LOOK_S)


def run(seed, age_s, scenario, servers=SERVERS):
    """Return what a scenario returns on a deployment that has been calm for a while."""
    loop = make_control_loop(seed, MAX_STEPS)
    with silent_disposal():
        deployment = ControlDeployment(loop, seed, NODES, servers)

        async def play():
            deployment.start()
            await asyncio.sleep(CALM_S)
            return await scenario(deployment, age_s)

        result = loop.run_until_complete(loop.create_task(play()))
        dispose(loop)
    return result
