"""Rules by which gateways of `EvenLoadWorld` select servers."""

from random import Random

from gateway_world import HOST, ZONE, make_rate_budget, make_record

from indigoworks.common.address import Address
from indigoworks.gateway.capacity_tracker import CapacityTracker
from indigoworks.gateway.home_slots import home_slots
from indigoworks.gateway.server_selector import ServerSelector
from indigoworks.gateway.server_stats import ServerStats

POLL_S = 0.02


class EarlierRule:
    """The rule before this page: least expected time by the newest counts, however old.

    Where `is_drawn`, a server is drawn by its free slots, as in a large group without brokers.
    """

    is_drawn = False

    def __init__(self, world) -> None:
        self.world, self.random = world, Random(1)

    def select(self, gateway):
        world, slots = self.world, self.world.plan.slots
        own, reported = world.own[gateway], world.reported[gateway]
        counts = {each: own[each] + world.total[each] - reported[each] for each in world.usable()}
        if self.is_drawn:
            rates = {
                each: (slots - busy) / world.service_s[each]
                for each, busy in counts.items()
                if busy < slots
            }
            if rates:
                return self.random.choices(list(rates), list(rates.values()))[0]
        free = [each for each, busy in counts.items() if busy < slots + max(1, slots // 2)]
        return min(free, key=lambda each: self._cost(each, counts[each]), default=None)

    def _cost(self, server, busy):
        slots = self.world.plan.slots
        waiting = max(0, busy + 1 - slots)
        expected_s = self.world.service_s[server] * (1 + waiting / slots)
        return expected_s * (1 + busy / slots), self.random.random()

    def start(self, gateway, server):
        return None

    def finish(self, server, gateway, started):
        pass


class DrawnRule(EarlierRule):
    """The rule before this page in a large group whose broker is silent."""

    is_drawn = True


class LateCounts:
    """Implements `LoadView` for one gateway of the world."""

    def __init__(self, world, gateway) -> None:
        self.world, self.gateway = world, gateway

    def in_flight(self, server_id):
        server = int(server_id)
        return self.world.total[server] - self.world.reported[self.gateway][server]

    def load_age_s(self):
        times_s = self.world.reported_s
        return self.world.now_s - sum(times_s) / len(times_s)

    def service_s(self, server_id):
        return self.world.service_s[int(server_id)]


class ProductRule:
    """The product's selector, statistics and assignment of slots."""

    def __init__(self, world) -> None:
        self.world = world
        self.nodes = [f"n{each}" for each in range(world.plan.gateways)]
        self.records = [
            make_record(str(each), Address(HOST, 1), slots=world.plan.slots)
            for each in range(len(world.plan.speeds))
        ]
        self.stats, self.selectors, self.capacities = [], [], []
        self.homes = {}
        for gateway in range(world.plan.gateways):
            stats = ServerStats(LateCounts(world, gateway), world)
            self.stats.append(stats)
            budget = make_rate_budget(world)
            self.capacities.append(CapacityTracker(stats, budget))
            self.selectors.append(
                ServerSelector(
                    None,
                    stats,
                    budget,
                    ZONE,
                    Random(gateway),
                    lambda: world.plan.gateways > 16,
                    home=lambda _, gateway=gateway: self.home(gateway),
                )
            )

    def home(self, gateway):
        usable = tuple(self.world.usable())
        if (gateway, usable) not in self.homes:
            servers = [
                (str(each), self.world.plan.slots, self.world.service_s[each]) for each in usable
            ]
            self.homes[gateway, usable] = home_slots(self.nodes[gateway], self.nodes, servers)
        return self.homes[gateway, usable]

    def select(self, gateway):
        selector = self.selectors[gateway]
        usable = [self.records[each] for each in self.world.usable()]
        servers = self.capacities[gateway].with_capacity(usable)
        if not servers:
            return None
        best = selector.select(servers)
        hold_s = selector.hold_s(best)
        left_s = self.world.waiting[gateway][0] + hold_s - self.world.now_s
        if hold_s and left_s > 0:
            self.world.serve_after(min(left_s, POLL_S), gateway)
            return None
        return int(best.server_id)

    def start(self, gateway, server):
        return self.stats[gateway].start(self.records[server])

    def finish(self, server, gateway, started):
        self.stats[gateway].finish(self.records[server], started, True)
