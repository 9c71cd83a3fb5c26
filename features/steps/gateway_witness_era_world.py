"""A leader with witnesses in a new era of the store, and servers that it cannot reach."""

import asyncio
from functools import partial

from gateway_control_world import SERVICE
from gateway_owner_proof_world import ShiftedRows
from gateway_witness_world import WitnessWorld, process

from indigoworks.ownership.era_numbers import first_number
from indigoworks.ownership.leader_row import LEADER_KEY, LeaderRow
from indigoworks.ownership.order_outcome import OrderOutcome, OrderResult
from indigoworks.ownership.ownership_tables import OWNERS_PREFIX
from indigoworks.ownership.table_editor import first_table
from indigoworks.rowstore.store_version import NO_VERSION


class EraWorld(WitnessWorld):
    """Process "n1" leads the first epoch of an era whose former one it did not follow.

    Owner "a" answers, "b" does not; "x" is listed, and no connection to it comes about.
    """

    def __init__(self, *nodes):
        super().__init__(*nodes)
        self.store = ShiftedRows(self.health, self.clock)
        self.leadership._writer._store = self.follower._store = self.store
        table = first_table(SERVICE, ("a", "b"), [1, 1])
        self.store.put(OWNERS_PREFIX + SERVICE, table.encode())
        self.store.begin(1)
        for number, name in enumerate("abx"):
            self.list_server(name, number + 1)
        self.orders.grant = partial(self._reach, self.orders.grant)
        self.orders.release = partial(self._reach, self.orders.release)

    async def _reach(self, send, server, order, timeout_s, may_send):
        if server.server_id == "x":
            return OrderOutcome(OrderResult.NOT_SENT)
        if server.server_id == "b":
            await asyncio.sleep(timeout_s)
            return OrderOutcome(OrderResult.UNANSWERED)
        return await send(server, order, timeout_s, may_send)

    def make_keeper(self, service, owned):
        keeper = super().make_keeper(service, owned)
        keeper._admission = self.replicator
        return keeper

    async def lead_era(self, *witnesses):
        """Lead with these witnesses; returns the epoch."""
        epoch = first_number(1) + 1
        row = LeaderRow(epoch, "n1", "boot-2", NO_VERSION, tuple(map(process, witnesses)))
        self.store.put(LEADER_KEY, row.encode())
        self.following = asyncio.ensure_future(self.follower.run())
        await asyncio.sleep(0.1)
        assert self.leadership.may_act() and not self.leadership.knows_former_era(0)
        leader = self.make_leader()
        leader._replication = self.parts["n1"].replication
        before = self.leadership.previous_leader_row()
        self.leading = asyncio.ensure_future(leader.run(before))
        return epoch
