"""Fences the previous leader at its witnesses."""

import asyncio

from eliot import log_message

from indigoworks.common.event_wait import wait_for_event
from indigoworks.exchange.open_grants import OpenGrants
from indigoworks.exchange.process_id import ProcessId
from indigoworks.exchange.witness_datagram import FenceReply, FenceRequest
from indigoworks.ownership.grant_replicator import SendToWitness
from indigoworks.ownership.grant_witness import GrantWitness
from indigoworks.ownership.leader_row import LeaderRow

RESEND_S = 0.1
"""Time after which a request without a reply is sent again."""

MAX_REQUESTS = 300
"""Requests to each witness; the bound of all servers has ended after as many."""


class PredecessorFence:
    """Asks the witnesses of the previous leader what they know, and to acknowledge nothing more.

    One reply with a record is enough: the leader needs the acknowledgement of each witness before
    it sends a grant to a further server.

    :param own: this process, which may be a witness itself.
    """

    def __init__(self, own: ProcessId, witness: GrantWitness, send: SendToWitness) -> None:
        self._own = own
        self._witness = witness
        self._send = send
        self._row: LeaderRow | None = None
        self._grants: OpenGrants | None = None
        self._has_grants = asyncio.Event()

    async def fence(self, row: LeaderRow) -> OpenGrants | None:
        """Return the open grants of the leader that `row` names; None: no witness knows them.

        :param row: the newest row of that leader, so that its witnesses cannot change any more.
        """
        self._row = row
        self._grants = None
        self._has_grants.clear()
        if self._own in row.witnesses:
            self._take(self._own, self._witness.fence(row.epoch))
        for _ in range(MAX_REQUESTS):
            if self._has_grants.is_set() or not row.witnesses:
                break
            for process in row.witnesses:
                if process != self._own:
                    self._send(process, FenceRequest(row.epoch))
            await wait_for_event(self._has_grants, RESEND_S)
        return self._grants

    def record_reply(self, sender: ProcessId, reply: FenceReply) -> None:
        """Record the reply of a witness."""
        row = self._row
        if row is not None and reply.epoch == row.epoch and sender in row.witnesses:
            self._take(sender, reply.grants)

    def _take(self, sender: ProcessId, grants: OpenGrants | None) -> None:
        if grants is None or self._has_grants.is_set():
            return
        self._grants = grants
        self._has_grants.set()
        log_message(
            message_type="hold:predecessor_grants",
            epoch=grants.epoch,
            witness=sender.node,
            number=grants.number,
            open=[each.server_id for each in grants.servers],
            others_left_s=round(grants.left_s, 3),
        )
