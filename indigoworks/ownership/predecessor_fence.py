"""Fences the previous leader at its witnesses."""

import asyncio
from dataclasses import dataclass

from eliot import log_message

from indigoworks.common.event_wait import wait_for_event
from indigoworks.exchange.open_grants import OpenGrants
from indigoworks.exchange.process_id import ProcessId
from indigoworks.exchange.witness_datagram import FenceReply, FenceRequest
from indigoworks.ownership.grant_replicator import SendToWitness
from indigoworks.ownership.grant_witness import GrantWitness
from indigoworks.ownership.leader_row import LeaderRow
from indigoworks.ownership.witness_quorum import read_quorum

RESEND_S = 0.1
"""Time after which requests without a reply are sent again."""

MAX_REQUESTS = 300
"""Requests to each witness; the bound of all servers has ended after as many."""


@dataclass(frozen=True, slots=True)
class FencedGrants:
    """The open grants of a leader that sends no grant to a further server any more."""

    row: LeaderRow
    grants: OpenGrants


class PredecessorFence:
    """Asks the witnesses of the previous leader what they know, and to acknowledge nothing more.

    Replies of a read quorum are enough: before the leader sends a grant to a further server, it
    needs the acknowledgement of so many witnesses that each read quorum has one of them. The newest
    of their records lists all servers with open grants.

    :param own: this process, which may be a witness itself.
    """

    def __init__(self, own: ProcessId, witness: GrantWitness, send: SendToWitness) -> None:
        self._own = own
        self._witness = witness
        self._send = send
        self._row: LeaderRow | None = None
        self._replies: dict[ProcessId, OpenGrants | None] = {}
        self._has_quorum = asyncio.Event()

    async def fence(self, row: LeaderRow) -> FencedGrants | None:
        """Return the open grants of the newest leader that has sent any; None: they are not known.

        :param row: the newest row of the previous leader, so that its witnesses cannot change any
            more.
        """
        leader: LeaderRow | None = row
        while leader is not None and await self._ask(leader):
            grants = self._newest()
            if grants is not None:
                return FencedGrants(leader, grants)
            # No witness has a record, and a leader sends nothing before they have one.
            leader = leader.replaced
        return None

    async def _ask(self, row: LeaderRow) -> bool:
        """Fence the leader of a row; returns whether a read quorum of its witnesses has replied."""
        self._row = row
        self._replies = {}
        self._has_quorum.clear()
        if self._own in row.witnesses and self._witness.remembers(row.epoch):
            self._take(self._own, self._witness.fence(row.epoch))
        for _ in range(MAX_REQUESTS):
            if self._has_quorum.is_set() or not row.witnesses:
                break
            for process in row.witnesses:
                if process not in self._replies:
                    self._send(process, FenceRequest(row.epoch))
            await wait_for_event(self._has_quorum, RESEND_S)
        return self._has_quorum.is_set()

    def record_reply(self, sender: ProcessId, reply: FenceReply) -> None:
        """Record the reply of a witness."""
        row = self._row
        if row is not None and reply.epoch == row.epoch and sender in row.witnesses:
            self._take(sender, reply.grants)

    def _take(self, sender: ProcessId, grants: OpenGrants | None) -> None:
        assert self._row is not None
        self._replies.setdefault(sender, grants)
        if len(self._replies) >= read_quorum(len(self._row.witnesses)):
            self._has_quorum.set()

    def _newest(self) -> OpenGrants | None:
        records = [each for each in self._replies.values() if each is not None]
        newest = max(records, key=lambda each: each.number, default=None)
        if newest is not None:
            log_message(
                message_type="hold:predecessor_grants",
                epoch=newest.epoch,
                witnesses=sorted(each.node for each in self._replies),
                number=newest.number,
                open=[each.server_id for each in newest.servers],
                others_left_s=round(newest.left_s, 3),
            )
        return newest
