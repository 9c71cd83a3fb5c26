"""Forwards requests whose servers are out of reach from here to peers that reach them."""

from collections import Counter

from indigoworks.common.clock import Clock
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.forwarding.forward_client import ForwardClient
from indigoworks.forwarding.forward_failure import ForwardFailure
from indigoworks.forwarding.forward_reply import ForwardOutcome, ForwardReply
from indigoworks.gateway.client_response import ClientResponse
from indigoworks.gateway.failure_responses import FailureResponses
from indigoworks.gateway.hop_messages import HopMessages
from indigoworks.gateway.local_retry_budget import LocalRetryBudget
from indigoworks.gateway.owner_lookup import OwnerLookup
from indigoworks.gateway.request_log import RequestLog
from indigoworks.gateway.request_state import RequestState
from indigoworks.reach.reach_subsystem import ReachSubsystem
from indigoworks.routes.configuration_holder import ConfigurationHolder
from indigoworks.servers.server_source import ServerSource

MAX_PEERS = 3
"""Peers that one request is offered to."""

REPLY_WAIT_S = 0.15
"""Longest wait for the first reply of peers, right after servers were found out of reach."""

PAUSE_AFTER_DECLINE_S = 0.3
"""Time for which a peer that declined a request gets no further one."""

REPLY_MARGIN_S = 0.05
"""Time after the deadline in which the receiver's own time-out response may still arrive."""


class RequestForwarding:
    """Decides whether a request is forwarded, to which peer, and what its response is.

    A request is forwarded once at most with effect: it is offered to another peer only if the one
    before did nothing with it, or if its route allows that it runs twice.

    :ivar messages: messages to peers, and their replies.
    """

    def __init__(
        self,
        reach: ReachSubsystem,
        servers: ServerSource,
        owners: OwnerLookup,
        client: ForwardClient,
        configurations: ConfigurationHolder,
        retry_budget: LocalRetryBudget,
        failures: FailureResponses,
        zone: str,
        log: RequestLog,
        clock: Clock,
    ) -> None:
        self._reach = reach
        self._servers = servers
        self._owners = owners
        self._client = client
        self._retry_budget = retry_budget
        self._failures = failures
        self._zone = zone
        self._log = log
        self._clock = clock
        self.messages = HopMessages(configurations, failures, clock)
        self._paused_until_s: dict[str, float] = {}
        self._offered: Counter[str] = Counter()

    async def is_due(self, state: RequestState) -> bool:
        """Return whether no server can take the request from here and a peer reaches one.

        Waits for a moment if peers have only just been asked.
        """
        if state.is_forwarded or not self.is_out_of_reach(state):
            return False
        left_s = state.deadline_s - self._clock.now()
        if left_s <= 0 or len(state.forwarded_to) >= MAX_PEERS:
            return False
        await self._reach.peers.wait_for_reply(min(REPLY_WAIT_S, left_s))
        return bool(self._candidates(state))

    async def forward(self, state: RequestState) -> ClientResponse | None:
        """Offer the request to a peer; return the final response, or None if another attempt is
        due."""
        candidates = self._candidates(state)
        if not candidates:
            return None
        peer = min(candidates, key=self._cost)
        self._offered[peer.node] += 1
        state.forwarded_to.append(peer.node)
        left_s = state.deadline_s - self._clock.now()
        state.is_outcome_open = True
        result = await self._client.send(
            peer, self.messages.message(state), left_s + REPLY_MARGIN_S
        )
        state.is_outcome_open = False
        self._record(state, peer, result)
        if isinstance(result, ForwardFailure):
            return self._without_reply(state, peer, result)
        return self._with_reply(state, peer, result)

    def is_out_of_reach(self, state: RequestState) -> bool:
        """Return whether no server that may run a request is reached from here."""
        if not self._reach.down.has_any():
            return False
        servers = self._servers_of(state)
        return bool(servers) and all(map(self._reach.down.is_down, servers))

    # ---- choice ----

    def _servers_of(self, state: RequestState) -> list[str]:
        """Return the ids of the servers that may run a request: its owner, or all usable ones."""
        if not state.service.is_keyed:
            return [each.server_id for each in self._servers.usable(state.service.name)]
        if state.request.key is None:
            return []
        owner = self._owners.find(state.service.name, state.request.key)
        if owner.server is None or not self._servers.may_serve_own_keys(owner.server.server_id):
            return []
        return [owner.server.server_id]

    def _candidates(self, state: RequestState) -> list[PeerAddress]:
        servers = self._servers_of(state)
        now_s = self._clock.now()
        return [
            each
            for each in self._reach.peers.peers_reaching(servers)
            if each.node not in state.forwarded_to
            and self._paused_until_s.get(each.node, 0.0) <= now_s
        ]

    def _cost(self, peer: PeerAddress) -> tuple[int, bool, int]:
        """Return the sort key of a peer: traffic between zones costs, and peers take turns."""
        is_far = peer.zone != self._zone
        return self._client.in_progress(peer.node), is_far, self._offered[peer.node]

    # ---- results ----

    def _with_reply(
        self, state: RequestState, peer: PeerAddress, reply: ForwardReply
    ) -> ClientResponse | None:
        if reply.outcome is ForwardOutcome.DECLINED:
            self._paused_until_s[peer.node] = self._clock.now() + PAUSE_AFTER_DECLINE_S
            return None
        self.messages.apply(state, reply)
        return self.messages.response(state, reply)

    def _without_reply(
        self, state: RequestState, peer: PeerAddress, failure: ForwardFailure
    ) -> ClientResponse | None:
        self._paused_until_s[peer.node] = self._clock.now() + PAUSE_AFTER_DECLINE_S
        if failure is ForwardFailure.NOT_SENT:
            return None
        state.may_have_run = True
        # The peer stands for the server that it may have chosen.
        state.tried.append(peer.node)
        return None if self._may_repeat(state) else self._failures.lost(state, "forwarded")

    def _may_repeat(self, state: RequestState) -> bool:
        """Return whether a request that may have run is offered to another peer."""
        if not state.route.is_repeatable or self._clock.now() >= state.deadline_s:
            return False
        if len(set(state.tried)) >= state.route.max_attempts:
            return False
        return self._retry_budget.try_consume(state.service.name)

    def _record(
        self, state: RequestState, peer: PeerAddress, result: ForwardReply | ForwardFailure
    ) -> None:
        if isinstance(result, ForwardFailure):
            self._log.forwarded(state, peer.node, result.value, "")
        else:
            self._log.forwarded(state, peer.node, result.outcome.value, result.reason)
