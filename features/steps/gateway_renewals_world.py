"""A leader with many ranges on virtual time; its orders are recorded."""

from collections import defaultdict
from itertools import pairwise

from gateway_control_world import HOLD_MAX_S, SERVICE, ControlWorld
from store_versions import at

from indigoworks.common.address import Address
from indigoworks.common.clock import LoopClock
from indigoworks.ownership.control_group import CONTROL_TABLE, part_of
from indigoworks.ownership.leader_row import LEADER_KEY, NO_LEADER, LeaderRow
from indigoworks.ownership.order_outcome import OrderOutcome, OrderResult
from indigoworks.ownership.owned_range import OwnedRange
from indigoworks.ownership.ownership_table import KEY_COUNT, OwnershipTable
from indigoworks.ownership.predecessor_bound import PredecessorBound
from indigoworks.ownership.range_keeper import RangeKeeper
from indigoworks.ownership.renewal_schedule import GrowingSchedule
from indigoworks.rowstore.row import Row
from indigoworks.rowstore.store_version import NO_VERSION
from indigoworks.servers.server_record import ServerRecord

EPOCH = 4
PROOF_PERIOD_S = 0.7
ORDER_S = 0.003


class LateClock(LoopClock):
    """A clock whose sleeps end no earlier than `awake_s`, like those of a loop that stood still."""

    awake_s = float("-inf")

    async def sleep(self, duration_s):
        end_s = max(self.now() + duration_s, self.awake_s)
        await super().sleep(duration_s)
        while self.now() < max(end_s, self.awake_s):
            await super().sleep(max(end_s, self.awake_s) - self.now())


class RecordedOrders:
    """Takes every order after ORDER_S, but for those that `is_lost` names.

    :ivar sent: (time, server, grant) of all grants.
    :ivar answered: the same of those that were answered.
    """

    def __init__(self, clock):
        self.clock = clock
        self.sent = []
        self.answered = []
        self.is_lost = lambda server_id, grant: False

    async def grant(self, server, grant, timeout_s, may_send):
        if not may_send():
            return OrderOutcome(OrderResult.WITHHELD)
        name = server.server_id
        self.sent.append((self.clock.now(), name, grant))
        if self.is_lost(name, grant):
            await self.clock.sleep(timeout_s)
            return OrderOutcome(OrderResult.UNANSWERED)
        await self.clock.sleep(ORDER_S)
        self.answered.append((self.clock.now(), name, grant))
        return OrderOutcome(OrderResult.DONE)


class RenewalWorld(ControlWorld):
    """A leader that has granted all its ranges; servers own one or two that lie side by side."""

    def __init__(self, ranges, servers, predecessor_left_s=float("-inf")):
        super().__init__(0, LateClock())
        self.orders = RecordedOrders(self.clock)
        self.is_proved = True
        self.schedule = GrowingSchedule(
            self.health, self.bounds, self.reach, self.clock, self.keepers.count
        )
        for number in range(servers):
            address = Address("127.0.0.1", 1000 + number)
            self.servers.put(
                ServerRecord(f"s{number}", SERVICE, address, "z", 2, False, 0.0, at(number + 1))
            )
        width = KEY_COUNT // ranges
        self.ranges = [
            OwnedRange(
                number * width,
                KEY_COUNT - 1 if number == ranges - 1 else (number + 1) * width - 1,
                f"s{number * servers // ranges}",
                number + 1,
            )
            for number in range(ranges)
        ]
        value = LeaderRow(EPOCH, "n1", "boot-2", NO_VERSION).encode()
        self.leadership.apply([Row(CONTROL_TABLE, part_of(0), LEADER_KEY, value, at(1000))])
        self.prove()
        self.bounds.start_epoch(self.clock.now() + predecessor_left_s)
        before = PredecessorBound(NO_LEADER, self.leadership.liveness)
        self.leadership.start_acting(EPOCH, before, self.bounds, self.reach.orders)

    def make_keeper(self, service, owned):
        return RangeKeeper(
            service,
            owned,
            self.leadership,
            self.orders,
            self.servers,
            self.bounds,
            self.policy,
            self.reach,
            self.clock,
            lambda: None,
            schedule=self.schedule,
        )

    def prove(self):
        now_s = self.clock.now()
        self.health.record_response(now_s, now_s)
        self.leadership.record_proof(now_s)

    def start(self):
        self.keepers.update(
            SERVICE, OwnershipTable(SERVICE, tuple(self.ranges), len(self.ranges), at(2000))
        )

    async def run(self, for_s):
        """Let time pass, with proofs of leadership while the store answers."""
        until_s = self.clock.now() + for_s
        while (left_s := until_s - self.clock.now()) > 0:
            if self.is_proved:
                self.prove()
            await self.clock.sleep(min(PROOF_PERIOD_S, left_s))

    def gaps(self, from_s=float("-inf"), until_s=float("inf"), servers=lambda name: True):
        """Return the times between answered grants of each range."""
        times = defaultdict(list)
        for at_s, name, grant in self.orders.answered:
            if from_s <= at_s <= until_s and servers(name):
                times[grant.first].append(at_s)
        return [later - earlier for each in times.values() for earlier, later in pairwise(each)]

    def gaps_to(self, end_s):
        """Return the times between answered grants of each range, and from the last to `end_s`."""
        last_s = {grant.first: at_s for at_s, _, grant in self.orders.answered}
        return [*self.gaps(), *(end_s - last_s.get(each.first, 0.0) for each in self.ranges)]

    def long_grants_after(self, from_s, until_s):
        return {
            grant.first
            for at_s, _, grant in self.orders.answered
            if from_s <= at_s <= until_s and grant.hold_s == HOLD_MAX_S
        }
