"""Virtual time: gateways send to servers with slots and queues, and know others' counts late."""

import heapq
from dataclasses import dataclass, field
from itertools import count
from random import Random

HOP_S = 0.001
WARM_UP_S = 1.5
MEAN_S = 0.06
SIGMA = 0.5
SLOW_S = 0.4
SLOW_FACTOR = 3.0


@dataclass
class Plan:
    """What is played; `away`: server, and the times between which it is not usable."""

    gateways: int = 8
    slots: int = 2
    speeds: tuple = tuple(0.6 + each / 9 for each in range(10))
    load: float = 0.6
    period_s: float = 0.1
    is_at_once: bool = True
    duration_s: float = 7.5
    is_slow_in_turn: bool = False
    away: tuple = (None, 0.0, 0.0)
    cold_until_s: float = 0.0


@dataclass
class Figures:
    """Shares of the arrivals beyond slots and of the time with a wait beside an idle slot."""

    arrivals: int = 0
    beyond: int = 0
    beside_s: float = 0.0
    held_beside_s: float = 0.0
    times_s: list = field(default_factory=list)
    most_at: dict = field(default_factory=dict)

    def beyond_share(self):
        return self.beyond / self.arrivals

    def percentile_s(self, share):
        return sorted(self.times_s)[int(len(self.times_s) * share)]


def merge(played):
    """Return the figures of several plays as of one."""
    merged = Figures()
    for each in played:
        merged.arrivals += each.arrivals
        merged.beyond += each.beyond
        merged.beside_s += each.beside_s
        merged.held_beside_s += each.held_beside_s
        merged.times_s += each.times_s
        for server, counts in each.most_at.items():
            merged.most_at.setdefault(server, []).extend(counts)
    return merged


class EvenLoadWorld:
    """Implements `Clock`; `rule(world)` makes the object that selects a server or holds a request.

    :ivar own: requests in flight, by gateway and server.
    :ivar reported: the same as last reported, with the time of that report in `reported_s`.
    """

    def __init__(self, plan, rule, seed) -> None:
        self.plan, self.random, self.now_s = plan, Random(seed), 0.0
        servers, gateways = range(len(plan.speeds)), range(plan.gateways)
        self.service_s = [MEAN_S / each for each in plan.speeds]
        self.factors = [1.0] * len(plan.speeds)
        self.own = [[0] * len(servers) for _ in gateways]
        self.reported = [[0] * len(servers) for _ in gateways]
        self.reported_s = [0.0] * plan.gateways
        self.total = [0] * len(servers)
        self.running = [0] * len(servers)
        self.queues = [[] for _ in servers]
        self.waiting = [[] for _ in gateways]
        self.is_timed = [False] * plan.gateways
        self.figures = Figures()
        self._events, self._order = [], count()
        self.rule = rule(self)
        self.rate = plan.load * sum(plan.slots / each for each in self.service_s)

    def now(self):
        return self.now_s

    def usable(self):
        server, begin_s, end_s = self.plan.away
        away = server if begin_s <= self.now_s < end_s else None
        return [each for each in range(len(self.own[0])) if each != away]

    def play(self):
        for gateway in range(self.plan.gateways):
            part = 1.0 if self.plan.is_at_once else (gateway + 1) / self.plan.gateways
            self._at(part * self.plan.period_s, self._report, gateway)
        self._at(0.0, self._arrive)
        if self.plan.is_slow_in_turn:
            self._at(WARM_UP_S, self._slow, 0)
        while self._events[0][0] <= self.plan.duration_s:
            at_s, _, act, values = heapq.heappop(self._events)
            self._count_time(at_s - self.now_s)
            self.now_s = at_s
            act(*values)
        return self.figures

    def _at(self, after_s, act, *values):
        heapq.heappush(self._events, (self.now_s + after_s, next(self._order), act, values))

    def _count_time(self, passed_s):
        if self.now_s < WARM_UP_S or all(each >= self.plan.slots for each in self.running):
            return
        self.figures.beside_s += passed_s if any(self.queues) else 0.0
        self.figures.held_beside_s += passed_s if any(self.waiting) else 0.0

    def _slow(self, server):
        self.factors = [1.0] * len(self.factors)
        self.factors[server] = SLOW_FACTOR
        self._at(SLOW_S, self._slow, (server + 1) % len(self.factors))

    def _report(self, gateway):
        self.reported[gateway] = list(self.own[gateway])
        self.reported_s[gateway] = self.now_s
        self.total = [sum(each) for each in zip(*self.reported, strict=True)]
        self._at(self.plan.period_s, self._report, gateway)

    def _arrive(self):
        self._at(self.random.expovariate(self.rate), self._arrive)
        gateway = self.random.randrange(self.plan.gateways)
        self.waiting[gateway].append(self.now_s)
        self.serve(gateway)

    def serve(self, gateway):
        while self.waiting[gateway]:
            server = self.rule.select(gateway)
            if server is None:
                return
            began_s = self.waiting[gateway].pop(0)
            self.own[gateway][server] += 1
            self._at(
                HOP_S, self._land, server, (gateway, began_s, self.rule.start(gateway, server))
            )

    def serve_after(self, after_s, gateway):
        if not self.is_timed[gateway]:
            self.is_timed[gateway] = True
            self._at(after_s, self._serve_timed, gateway)

    def _serve_timed(self, gateway):
        self.is_timed[gateway] = False
        self.serve(gateway)

    def _land(self, server, request):
        if self.now_s >= WARM_UP_S:
            self.figures.arrivals += 1
            self.figures.beyond += self.running[server] >= self.plan.slots
        self.queues[server].append(request)
        known = self.figures.most_at.setdefault(server, [])
        known.append((self.now_s, self.running[server] + len(self.queues[server])))
        self._begin(server)

    def _begin(self, server):
        if self.queues[server] and self.running[server] < self.plan.slots:
            self.running[server] += 1
            cold = 2.0 if server == 0 and self.now_s < self.plan.cold_until_s else 1.0
            drawn = self.random.lognormvariate(-SIGMA * SIGMA / 2, SIGMA)
            work_s = self.service_s[server] * self.factors[server] * cold * drawn
            self._at(work_s, self._end, server, self.queues[server].pop(0))

    def _end(self, server, request):
        self.running[server] -= 1
        self._begin(server)
        self._at(HOP_S, self._answered, server, request)

    def _answered(self, server, request):
        gateway, began_s, started = request
        self.own[gateway][server] -= 1
        self.rule.finish(server, gateway, started)
        if began_s >= WARM_UP_S:
            self.figures.times_s.append(self.now_s - began_s)
        self.serve(gateway)
