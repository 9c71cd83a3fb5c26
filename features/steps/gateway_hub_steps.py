"""Steps on gateways whose reports a hub sums up."""

from behave import given, then, when
from gateway_hub_world import HubWorld

NEW_EPOCH = 2


def world_of(context, gateways, zones, loss=0.0):
    return HubWorld(gateways, zones, context.random.random(), loss)


@given("{gateways:d} gateways in {zones:d} hub zones")
def step_world(context, gateways, zones):
    context.hub_world = world_of(context, gateways, zones)


@given("{gateways:d} gateways in {zones:d} hub zones that lose 1 datagram in {each:d}")
def step_lossy_world(context, gateways, zones, each):
    context.hub_world = world_of(context, gateways, zones, 1 / each)


@when("the hub world loses no more datagrams")
def step_lossless(context):
    context.hub_world.loss = 0.0


@when("the hub world runs for {duration_s:f} s")
def step_run(context, duration_s):
    context.hub_world.run(duration_s)


@when("the hub of zone 1 is {lost}")
def step_lost(context, lost):
    world = context.hub_world
    hub = world.hub("z1")
    members = [each.name for each in world.members("z1")]
    assert len(members) > 4
    context.hub_name, context.hub_unsure = hub.name, None
    half = set(members[::2])
    if lost == "killed":
        del world.nodes[hub.name]
    elif lost == "frozen":
        hub.is_frozen = True
        context.hub_unsure = hub
    elif lost == "cut from everyone":
        world.is_cut = lambda source, target: hub.name in (source, target)
        context.hub_unsure = hub
    elif lost == "cut from its members":
        world.is_cut = _between(hub.name, set(members))
        context.hub_unsure = hub
    elif lost == "deaf to half of its members":
        world.is_cut = lambda source, target: target == hub.name and source in half
        context.hub_unsure = hub
    elif lost == "mute to half of its members":
        world.is_cut = lambda source, target: source == hub.name and target in half
    else:
        raise AssertionError(lost)


def _between(name, others):
    def is_cut(source, target):
        return (source == name and target in others) or (target == name and source in others)

    return is_cut


@when("all of zone 1 that can be hubs are killed")
def step_all_killed(context):
    world = context.hub_world
    for name in ("z1-1", "z1-2"):
        del world.nodes[name]
    context.hub_unsure = None


@when("the hub of zone 1 goes on")
def step_thaw(context):
    context.hub_world.nodes[context.hub_name].thaw()


@when("a member of zone 1 is started anew with other loads")
def step_restart(context):
    world = context.hub_world
    member = world.members("z1")[0]
    started = world.start(member.name, member.zone, 0.0, "b2")
    started.loads = {each: number + 1 for each, number in member.loads.items()}


@when("each gateway of the hub world changes its loads")
def step_change(context):
    for node in context.hub_world.awake():
        node.loads = {each: context.random.randint(0, 5) for each in node.loads}


@when("the leader of the hub world reaches one member of zone 2 alone")
def step_leader_cut(context):
    world = context.hub_world
    only = world.members("z2")[0].name
    world.is_cut = lambda source, target: source == world.leader and target != only


@when("a member of zone 2 of the hub world leads from now on")
def step_other_leads(context):
    world = context.hub_world
    context.hub_earlier = world.leader
    world.nodes[world.leader].leads = False
    leader = world.members("z2")[0]
    leader.leads = True
    world.leader = leader.name
    world.follow(leader.name)
    for node in world.nodes.values():
        node.epoch = NEW_EPOCH


@when("each gateway of the hub world samples a key of its own")
def step_sample(context):
    context.hub_world.nodes[context.hub_world.leader].table.drain_samples()
    context.hub_world.sample_all()


@then("no gateway is summed up")
def step_none(context):
    for node in context.hub_world.awake():
        assert not node.table.has_members()
        assert not node.choice.is_settled()


@then("all gateways of the hub world but the hubs and the leader are summed up")
def step_all(context):
    world = context.hub_world
    for node in world.awake():
        is_alone = node.table.has_members() or node.name == world.leader
        assert node.choice.is_settled() != is_alone, node.name
    assert len([each for each in world.awake() if each.table.has_members()]) == 3


@then("each gateway of the hub world counts exactly what all others have in flight")
def step_exact(context):
    unsure = getattr(context, "hub_unsure", None)
    assert context.hub_world.differences(unsure) == []


@then("each gateway of the hub world knows all others to be live")
def step_live(context):
    nodes = context.hub_world.awake()
    for node in nodes:
        assert node.table.live_count() == len(nodes) - 1, node.name


@then(
    "for {duration_s:f} s no gateway of the hub world counts less than what all others have "
    "in flight"
)
def step_never_less(context, duration_s):
    world = context.hub_world

    def check():
        found = world.differences(context.hub_unsure)
        less = [each for each in found if each[2] < each[3]]
        assert not less, (world.clock.now_s, less)

    world.run(duration_s, check)


@then("three times as many gateways with hubs send less than four times as many datagrams")
def step_datagrams(context):
    sent = {}
    for gateways in (24, 72):
        world = world_of(context, gateways, 3)
        world.run(3.0)
        world.sent = 0
        world.run(3.0)
        sent[gateways] = world.sent
    assert sent[72] < 4 * sent[24], sent


@then("for {duration_s:f} s everyone has heard the leader within {age_s:f} s")
def step_beat(context, duration_s, age_s):
    world = context.hub_world

    def check():
        for node in world.awake():
            if node.name != world.leader:
                assert node.signs.beat_age_s(1) <= age_s, node.name

    world.run(duration_s, check)


@then("everyone but the hub world's leader hears of a beat younger than {age_s:f} s")
def step_silence(context, age_s):
    world = context.hub_world
    for node in world.awake():
        if node.name != world.leader:
            assert node.signs.silence_s(1, 0.0) < age_s, (node.name, node.signs.silence_s(1, 0.0))


@then("everyone in the hub world has heard that the earlier leader follows the later epoch")
def step_has_stopped_acting(context):
    for node in context.hub_world.awake():
        if node.name != context.hub_earlier:
            assert node.signs.has_stopped_acting(context.hub_earlier, "b1", 1), node.name


@then("the leader of the hub world has the samples of all")
def step_samples(context):
    world = context.hub_world
    samples = world.nodes[world.leader].table.drain_samples()
    assert sorted(each.keys[0] for each in samples) == list(range(len(world.nodes)))
