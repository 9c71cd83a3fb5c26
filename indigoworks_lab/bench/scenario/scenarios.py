"""The scenarios of the experiments."""

from collections.abc import Callable
from random import Random

from indigoworks_lab.bench.installation.installation import Installation
from indigoworks_lab.bench.scenario.load_stream import LoadStream
from indigoworks_lab.bench.scenario.scenario import END_S, WARM_UP_S, Scenario
from indigoworks_lab.bench.scenario.server_event import ServerEvent, ServerEventKind

ScenarioMaker = Callable[[Installation, Random], Scenario]

EVENT_S = WARM_UP_S + 5.0
"""Moment of the first event: 5 s of the measured part lie before it."""

HOT_KEY_LOAD = 0.6
"""Load of the hot key, as a share of one server's capacity, on top of the calm load."""

HOT_KEY_STAYS_S = 5.0
SURGE_KEYS = 20
SURGE_LOAD = 0.3
"""Load of the surge, as a share of the service's capacity, on top of the calm load."""

SURGE_LASTS_S = 10.0
FLOOD_FACTOR = 10.0
"""The flooding group sends this many times its share of the capacity."""

FLOOD_BEFORE_S = 2.0
"""The flood begins this long before the measured part."""


def calm(_installation: Installation, _random: Random) -> Scenario:
    """Return the calm load alone."""
    return Scenario("calm")


def surge(installation: Installation, random: Random) -> Scenario:
    """Return a sale or a storm: the rate of some keys jumps for a while."""
    keys = tuple(random.sample(range(installation.keys_per_service), SURGE_KEYS))
    service = installation.service(installation.hot_service)
    rate = service.capacity_per_s * SURGE_LOAD
    return Scenario(
        "surge",
        extra=tuple(_spread(installation, "surge", rate, EVENT_S, EVENT_S + SURGE_LASTS_S, keys)),
    )


def hot_key(installation: Installation, random: Random) -> Scenario:
    """Return a hot key that is another one every few seconds."""
    service = installation.service(installation.hot_service)
    rate = service.server_capacity_per_s * HOT_KEY_LOAD
    streams: list[LoadStream] = []
    from_s = WARM_UP_S
    while from_s < END_S:
        key = random.randrange(installation.keys_per_service)
        to_s = from_s + HOT_KEY_STAYS_S
        streams += _spread(installation, f"hot:{from_s:g}", rate, from_s, to_s, (key,))
        from_s = to_s
    return Scenario("hot-key", extra=tuple(streams))


def flood(installation: Installation, _random: Random) -> Scenario:
    """Return one group that sends ten times its share to every service, all the time."""
    group = installation.flooding_group
    factor = FLOOD_FACTOR * installation.share_of(group)
    streams = tuple(
        LoadStream(
            name=f"flood:{service.name}",
            service=service.name,
            group=group,
            rate_per_s=service.capacity_per_s * factor,
            from_s=WARM_UP_S - FLOOD_BEFORE_S,
            to_s=END_S,
        )
        for service in installation.services
    )
    return Scenario("flood", extra=streams, needs_calm_run=True)


def loss(installation: Installation, random: Random) -> Scenario:
    """Return the loss of one server of each service."""
    events = tuple(
        ServerEvent(ServerEventKind.LOSS, each.name, EVENT_S, random.randrange(each.servers))
        for each in installation.services
    )
    return Scenario("loss", events=events)


def joins_and_leaves(installation: Installation, random: Random) -> Scenario:
    """Return a planned stop, then a new server, in each service."""
    events: list[ServerEvent] = []
    for each in installation.services:
        number = random.randrange(each.servers)
        events.append(ServerEvent(ServerEventKind.LEAVE, each.name, EVENT_S, number))
        events.append(ServerEvent(ServerEventKind.JOIN, each.name, EVENT_S + 7.0))
    return Scenario("joins-and-leaves", events=tuple(events))


SCENARIOS: dict[str, ScenarioMaker] = {
    "calm": calm,
    "surge": surge,
    "hot-key": hot_key,
    "flood": flood,
    "loss": loss,
    "joins-and-leaves": joins_and_leaves,
}


def _spread(
    installation: Installation,
    name: str,
    rate_per_s: float,
    from_s: float,
    to_s: float,
    keys: tuple[int, ...],
) -> list[LoadStream]:
    """Return streams to the hot service in which all groups have their shares."""
    return [
        LoadStream(
            name=f"{name}:{group.name}",
            service=installation.hot_service,
            group=group.name,
            rate_per_s=rate_per_s * installation.share_of(group.name),
            from_s=from_s,
            to_s=to_s,
            keys=keys,
        )
        for group in installation.groups
    ]
