"""Steps on the order in which processes challenge a lost leader."""

import re
from itertools import pairwise
from random import Random

from behave import given, then, when
from store_versions import at

from indigoworks.common.address import Address
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.exchange.peer_directory import PEER_PREFIX, PeerDirectory, encode_peer
from indigoworks.exchange.peer_report import PeerReport
from indigoworks.exchange.peer_table import PeerTable
from indigoworks.ownership.challenge_delay import ChallengeDelay
from indigoworks.rowstore.row import Row

DRAWS = 50
WRITE_S = 1.0
LOST = "lost"


class ScenarioClock:
    def __init__(self):
        self.at_s = 0.0

    def now(self):
        return self.at_s


class Challenger:
    """One process, its directory and the peers that it hears."""

    def __init__(self, name, capacities, clock):
        self.name = name
        self.directory = PeerDirectory(name)
        self.peers = PeerTable(clock)
        for number, (node, cores) in enumerate(capacities.items(), 1):
            address = PeerAddress(node, "b", "z", Address("127.0.0.1", number), cores)
            row = Row("t", "", PEER_PREFIX + node, encode_peer(address), at(number))
            self.directory.apply([row])
        self.order = ChallengeDelay(
            name, capacities[name], self.peers, self.directory, Random(f"challenge {name}")
        )

    def hear(self, nodes, sequence):
        for node in nodes:
            if node != self.name:
                self.peers.record_report(PeerReport(node, "b", sequence, 0, 0.0, None, (), (), 0))

    def waits(self, lost):
        return [self.order.wait_s(lost) for _ in range(DRAWS)]


def build(context, capacities):
    context.challenge_clock = ScenarioClock()
    context.challenge_lost = LOST
    context.challengers = {
        name: Challenger(name, capacities, context.challenge_clock) for name in capacities
    }
    for each in context.challengers.values():
        each.hear(capacities, 1)


@given("gateway challengers {names} cores to spare that hear each other")
def step_challengers(context, names):
    pairs = re.findall(r"(\w+) with (\d+)", names)
    build(context, {name: float(cores) for name, cores in pairs})


@when("gateway challenger {name} is the leader that is challenged")
def step_sick(context, name):
    context.challenge_lost = name
    del context.challengers[name]


@when("gateway challenger {name} falls silent")
def step_silent(context, name):
    del context.challengers[name]
    context.challenge_clock.at_s += 5.0
    for each in context.challengers.values():
        each.hear(context.challengers, 2)


@then("the gateway challengers go in the order {names}, whatever their jitter")
def step_in_order(context, names):
    waits = [context.challengers[name].waits(context.challenge_lost) for name in names.split(", ")]
    assert len(waits) == len(context.challengers)
    for earlier, later in pairwise(waits):
        assert max(earlier) <= min(later), waits


@then(
    "gateway challenger {name} waits at least {extra_s:g} s more than the others, "
    "and is not first after a restart"
)
def step_weak(context, name, extra_s):
    own = context.challengers.pop(name)
    others = [wait_s for each in context.challengers.values() for wait_s in each.waits(LOST)]
    assert min(own.waits(LOST)) >= max(others) + extra_s - 0.15
    assert not own.order.may_skip_delay()
    assert all(each.order.may_skip_delay() for each in context.challengers.values())


@then("gateway challenger {name} waits no longer than {limit_s:g} s")
def step_no_longer(context, name, limit_s):
    assert max(context.challengers[name].waits(LOST)) <= limit_s


@when("{count:d} challenges of gateway challenger {name} get no answer")
def step_no_answer(context, count, name):
    for _ in range(count):
        context.challengers[name].order.record_outcome(is_failed=True)


@then(
    "gateway challenger {name} waits up to {longest_s:g} s longer, "
    "and as before once the store decides one"
)
def step_back_off(context, name, longest_s):
    challenger = context.challengers[name]
    waits = challenger.waits(LOST)
    assert longest_s / 2 < max(waits) <= longest_s + 0.15, waits
    challenger.order.record_outcome(is_failed=False)
    assert max(challenger.waits(LOST)) <= 0.15


@given(
    "{count:d} gateway challengers that hear each other, and a store that makes one write a second"
)
def step_many(context, count):
    build(context, {f"n{number:02}": 1.0 for number in range(count)})


@when("their gateway leader is lost and the store refuses whoever finds {limit:d} writes waiting")
def step_busy(context, limit):
    """Play the challenges in the order of their times; the store works on one after the other."""
    due = [(each.order.wait_s(LOST), name) for name, each in context.challengers.items()]
    context.challenge_writes = 0
    context.challenge_leader = None
    busy = []
    while context.challenge_leader is None:
        due.sort()
        at_s, name = due.pop(0)
        busy = [end_s for end_s in busy if end_s > at_s]
        if context.challenge_writes and context.challenge_first_end_s <= at_s:
            context.challenge_leader = context.challenge_first
            break
        context.challenge_writes += 1
        is_refused = len(busy) >= limit
        if not is_refused:
            busy.append((busy[-1] if busy else at_s) + WRITE_S)
            if len(busy) == 1 and context.challenge_writes == 1:
                context.challenge_first, context.challenge_first_end_s = name, busy[0]
        else:
            order = context.challengers[name].order
            order.record_outcome(is_failed=True)
            due.append((at_s + order.wait_s(LOST), name))


@then("one gateway challenger leads, and the store got at most {limit:d} writes")
def step_few_writes(context, limit):
    assert context.challenge_leader == "n00"
    assert context.challenge_writes <= limit, context.challenge_writes
