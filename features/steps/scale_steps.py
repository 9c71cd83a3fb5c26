"""Steps on the scale run: hollow members, slopes and reports."""

import asyncio
import json
import os
from random import Random

from behave import given, then, when

from indigoworks.backend.granted_range import GrantedRange
from indigoworks.backend.http_backend_control import HttpBackendControl
from indigoworks.backend.lease_renewal import LeaseRenewal
from indigoworks.common.address import Address
from indigoworks.common.clock import LoopClock
from indigoworks.platform.machine_record import MachineRecord
from indigoworks.settings import SettingsResolver, parse_tree
from indigoworks.wire.control_pb2 import ControlState, Frame, RangeRecord, ViewReply
from indigoworks.wire.rpc_server import RpcServer
from indigoworks_lab.client.polling import becomes_true
from indigoworks_lab.launcher.free_ports import LOOPBACK, FreePorts
from indigoworks_lab.scale.hollow_routers import HollowRouters
from indigoworks_lab.scale.hollow_servers import HollowServers
from indigoworks_lab.scale.member_names import server_address, server_name
from indigoworks_lab.scale.point_result import PointResult
from indigoworks_lab.scale.process_usage import read_usage
from indigoworks_lab.scale.scale_figures import LEADER_CORES
from indigoworks_lab.scale.scale_point import ScalePoint
from indigoworks_lab.scale.scale_report import report_lines, slope_by_members
from indigoworks_lab.scale.scale_tree import scale_tree
from indigoworks_lab.scale.slope import fit_slope
from indigoworks_lab.scale.usage_window import UsageWindow

TIMEOUT_S = 20.0
TREE = json.dumps(scale_tree(ScalePoint(2), 0)).encode()
ONE_RANGE = (GrantedRange(0, 2**64 - 1, 7, False),)


@given("scale: a hollow back end")
def hollow_back_end(context):
    async def start():
        context.port = FreePorts(Random()).next_port()
        context.servers = HollowServers(0, 1, context.port, LoopClock())
        await context.servers.start()
        context.control = HttpBackendControl(LoopClock())

    context.run_async(start())
    context.add_cleanup(lambda: context.run_async(end_back_end(context)))


async def end_back_end(context):
    context.control.close()
    context.servers.kill([server_name(0)])
    await asyncio.sleep(0)


@when("scale: the product's client reads its status and renews its lease with one range")
def take_lease(context):
    async def exchange():
        address = server_address(0, context.port)
        status = (await context.control.read_status(address, TIMEOUT_S)).unwrap()
        renewal = LeaseRenewal(status.incarnation, 1, 5, status.clock_s + 1.5, ONE_RANGE)
        return (await context.control.renew(address, renewal, TIMEOUT_S)).unwrap()

    context.status = context.run_async(exchange())


@when("scale: the back end is killed")
def kill_back_end(context):
    async def kill():
        context.servers.kill([server_name(0)])

    context.run_async(kill())


@then("scale: the answer shows the granted version and the traffic is counted")
def lease_is_held(context):
    assert (context.status.generation, context.status.grants_version) == (1, 5), context.status
    traffic = context.servers.traffic
    assert traffic.exchanges == 2, traffic
    assert traffic.bytes_to_member > 0 and traffic.bytes_from_member > 0, traffic


@then("scale: the product's client gets an error from it")
def no_answer(context):
    answer = context.run_async(
        context.control.read_status(server_address(0, context.port), TIMEOUT_S)
    )
    assert answer.is_err(), answer


@given("scale: a server that publishes settings version 1 and then version 3")
def settings_publisher(context):
    context.views = [
        ControlState(settings_version=version, settings_tree=TREE) for version in (1, 3)
    ]


@given('scale: a server that publishes that "{target}" takes over from "{source}"')
def takeover_publisher(context, target, source):
    context.views = [
        ControlState(
            settings_tree=TREE,
            ranges=[RangeRecord(service="s", start=0, end=2**64 - 1, owner=owner, token=token)],
        )
        for token, owner in enumerate((source, target), start=1)
    ]


async def publish(context, request):
    """Answer a poll with the next whole view, or with the same version at the end."""
    version = min(request.view_request.known_version + 1, len(context.views))
    reply = ViewReply(version=version, generation=1, echoed_clock_s=request.view_request.clock_s)
    if version > request.view_request.known_version:
        reply.snapshot.CopyFrom(context.views[version - 1])
    await asyncio.sleep(0.001)
    return Frame(view_reply=reply)


@when("scale: {count:d} hollow routers follow it until all know version 3")
def follow_settings(context, count):
    follow(context, count, "settings:3")


@when("scale: {count:d} hollow routers follow it until all know the new owner")
def follow_takeover(context, count):
    follow(context, count, "replaced:server-00000")


async def knows(routers, milestone, count):
    return routers.state()["milestones"].get(milestone, [0])[0] == count


def follow(context, count, milestone):
    async def run():
        address = Address(LOOPBACK, FreePorts(Random()).next_port())
        server = RpcServer(address, lambda request: publish(context, request))
        await server.start()
        records = [MachineRecord("c", "controller", "", "zone-a", address.host, address.port)]
        routers = HollowRouters(0, count, records, LoopClock())
        running = asyncio.ensure_future(routers.run())
        assert await becomes_true(lambda: knows(routers, milestone, count), TIMEOUT_S)
        context.state = json.loads(json.dumps(routers.state()))
        running.cancel()
        await server.stop()

    context.run_async(run())


@then("scale: every version up to 3 is a milestone of {count:d} routers")
def settings_milestones(context, count):
    found = {name: each[0] for name, each in context.state["milestones"].items()}
    assert found == {f"settings:{version}": count for version in (1, 2, 3)}, found


@then("scale: the routers decoded a whole view each")
def whole_views(context):
    traffic = context.state["traffic"]
    assert traffic["snapshots"] == 2 * context.state["routers"], traffic
    assert traffic["bytes_to_member"] >= 2 * context.state["routers"] * 10, traffic


@then('scale: the replacement of "{name}" is a milestone of {count:d} routers')
def replacement_is_known(context, name, count):
    assert context.state["milestones"][f"replaced:{name}"][0] == count, context.state


@then('scale: the replacement of "{name}" is no milestone')
def no_replacement(context, name):
    assert f"replaced:{name}" not in context.state["milestones"], context.state


@then("scale: {members:d} members are {routers:d} routers and {servers:d} back ends")
def shares(context, members, routers, servers):
    point = ScalePoint(members)
    assert (point.routers, point.servers) == (routers, servers), point


@then(
    "scale: the tree of {members:d} members asks for {ranges:d} ranges for each of "
    "{servers:d} back ends"
)
def tree_ranges(context, members, ranges, servers):
    tree = parse_tree(json.dumps(scale_tree(ScalePoint(members), 1)).encode()).unwrap()
    resolver = SettingsResolver(tree)
    cut = sum(resolver.resolve(name).placement.initial_ranges for name in tree.services)
    assert cut == ranges * servers, cut


@then("scale: the points {points} give {slope:d} a unit and {start:d} at zero, off by 0")
def exact_slope(context, points, slope, start):
    fitted = fit_slope(pairs(points))
    assert abs(fitted.per_unit - slope) < 1e-9 and abs(fitted.at_zero - start) < 1e-9, fitted
    assert fitted.worst_error < 1e-9 and abs(fitted.at(10) - (start + 10 * slope)) < 1e-9, fitted


@then("scale: the points {points} give a worst error above 0")
def inexact_slope(context, points):
    assert fit_slope(pairs(points)).worst_error > 0.01


@then("scale: points of one size give no slope")
def no_slope(context):
    assert fit_slope([(1, 5), (1, 6)]) is None


def pairs(text):
    return [tuple(float(each) for each in pair.split(":")) for pair in text.split()]


@given("scale: a result that ended early")
def early_end(context):
    context.result = PointResult(ScalePoint(200), registered=40, stopped="too many back ends")


@then("scale: the report names the reason and shows no figure for what was not measured")
def report_of_early_end(context):
    lines = list(report_lines([context.result]))
    assert any("too many back ends; 40 of 133 back ends" in line for line in lines), lines
    row = next(line for line in lines if line.startswith("leader cores"))
    assert row.split()[-1] == "-", row


def result_of(members, renewals, cores):
    window = UsageWindow(
        seconds=1.0,
        leader_cores=cores,
        follower_cores=0.0,
        leader_bytes=0.0,
        follower_bytes=0.0,
        router_cores=0.0,
        router_messages=0.0,
        router_bytes=0.0,
        server_messages=renewals,
        server_bytes=0.0,
        failed_polls=0,
    )
    return PointResult(ScalePoint(members), resting=[window])


@given("scale: results of 50 and 200 members at 2.4 renewals and of 800 members at 1.7")
def results_with_a_limit(context):
    context.results = [
        result_of(50, 2.4, 0.1),
        result_of(200, 2.4, 0.4),
        result_of(800, 1.7, 0.7),
    ]


@then("scale: the slope of the leader's cores is that of the first two alone")
def slope_without_the_last(context):
    slope = slope_by_members(context.results, LEADER_CORES)
    assert abs(slope.per_unit - 0.002) < 1e-9 and slope.worst_error < 1e-9, slope


@then("scale: the report tells that the leader keeps up twice and not at the third")
def report_of_keeping_up(context):
    row = next(line for line in report_lines(context.results) if "keeps up " in line)
    assert row.split()[-3:] == ["yes", "yes", "no"], row


@then("scale: this process has used processor time and holds memory")
def own_usage(context):
    usage = read_usage(os.getpid())
    assert usage.processor_s > 0 and usage.resident_bytes > 1_000_000, usage
