"""Passes requests for keys to the dispatchers of the keys' owners."""

import asyncio

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.exchange.peer_directory import PeerDirectory
from indigoworks.forwarding.dispatcher_selector import ALL_SERVERS, DispatcherSelector
from indigoworks.forwarding.forward_client import ForwardClient
from indigoworks.forwarding.forward_failure import ForwardFailure
from indigoworks.forwarding.forward_reply import ForwardOutcome, ForwardReply
from indigoworks.gateway.client_response import ClientResponse
from indigoworks.gateway.dispatcher_choice import DispatcherChoice
from indigoworks.gateway.failure_responses import FailureResponses
from indigoworks.gateway.hop_messages import HopMessages
from indigoworks.gateway.local_retry_budget import LocalRetryBudget
from indigoworks.gateway.owner_lookup import OwnerLookup, OwnerState
from indigoworks.gateway.refusal import Refusal, RefusalReason
from indigoworks.gateway.request_forwarding import REPLY_MARGIN_S
from indigoworks.gateway.request_log import RequestLog
from indigoworks.gateway.request_state import RequestState
from indigoworks.gateway.retry_policy import RetryPolicy

CHECK_INTERVAL_S = 0.1
"""Interval between checks for silent dispatchers, while any has a request that may be repeated."""

LATE_CHECK_S = 0.3
"""A check that runs later than this finds every peer silent because this process stood still, and
is skipped: datagrams that arrived meanwhile are read first."""

OUT_OF_REACH = "out_of_reach"
"""Reason of a dispatcher that declines because it does not reach the server."""

_DISPATCHED_STATES = (OwnerState.READY, OwnerState.OUT_OF_REACH_HERE)
"""States of an owner whose dispatcher gets the requests. A dispatcher may reach a server that this
gateway does not."""


class RequestDispatching:
    """Decides whether a request has a dispatcher other than this process, and passes it on.

    A request that the dispatcher did nothing with is then sent from here. One that the dispatcher
    may have sent is repeated only if its route and the retry budget of this gateway allow it.
    """

    def __init__(
        self,
        own_node: str,
        selector: DispatcherSelector,
        directory: PeerDirectory,
        owners: OwnerLookup,
        client: ForwardClient,
        messages: HopMessages,
        retry_budget: LocalRetryBudget,
        retry_policy: RetryPolicy,
        failures: FailureResponses,
        log: RequestLog,
        clock: Clock,
    ) -> None:
        self._own_node = own_node
        self._selector = selector
        self._directory = directory
        self._owners = owners
        self._client = client
        self._messages = messages
        self._retry_budget = retry_budget
        self._retry_policy = retry_policy
        self._failures = failures
        self._log = log
        self._clock = clock
        self._check: asyncio.TimerHandle | None = None

    def choice(self, state: RequestState) -> DispatcherChoice | None:
        """Return the dispatcher that a request goes to next; None: it is sent from here."""
        if state.is_forwarded or not state.may_dispatch or not self._directory.has_many():
            return None
        if not state.service.is_keyed or state.request.key is None:
            return None
        owner = self._owners.find(state.service.name, state.request.key)
        if owner.server is None or owner.state not in _DISPATCHED_STATES:
            return None
        peer = self._selector.dispatcher(owner.server.server_id, owner.server.zone)
        if peer is None or peer.node == self._own_node:
            return None
        return DispatcherChoice(peer, owner.server.server_id)

    async def dispatch(
        self, state: RequestState, choice: DispatcherChoice
    ) -> ClientResponse | None:
        """Pass a request to its dispatcher; return the final response, or None if another attempt
        is due."""
        left_s = state.deadline_s - self._clock.now()
        if left_s <= 0:
            return self._failures.refuse(state, Refusal(RefusalReason.NO_TIME, 0.0))
        is_repeatable = state.route.is_repeatable
        if is_repeatable and self._check is None:
            self._schedule_check()
        message = self._messages.message(state, is_for_dispatcher=True)
        state.is_outcome_open = True
        result = await self._client.send(
            choice.peer, message, left_s + REPLY_MARGIN_S, is_repeatable
        )
        state.is_outcome_open = False
        if isinstance(result, ForwardFailure):
            return self._without_reply(state, choice, result)
        if result.outcome is ForwardOutcome.DECLINED:
            self._record_declined(state, choice, result.reason)
            return None
        self._messages.apply(state, result)
        self._log.dispatched(state, choice.peer.node, result.outcome.value, result.reason)
        if result.may_repeat:
            return await self._repeat_or_fail(state, result)
        return self._messages.response(state, result)

    def close(self) -> None:
        """Cancel the checks."""
        if self._check is not None:
            self._check.cancel()

    # ---- results ----

    def _record_declined(self, state: RequestState, choice: DispatcherChoice, reason: str) -> None:
        self._log.dispatched(state, choice.peer.node, ForwardOutcome.DECLINED.value, reason)
        state.may_dispatch = False
        server_id = choice.server_id if reason == OUT_OF_REACH else ALL_SERVERS
        self._selector.exclude(choice.peer.node, server_id)

    def _without_reply(
        self, state: RequestState, choice: DispatcherChoice, failure: ForwardFailure
    ) -> ClientResponse | None:
        node = choice.peer.node
        self._log.dispatched(state, node, failure.value, "")
        is_late = self._clock.now() >= state.deadline_s
        if not is_late:
            # The connection broke, or the peer fell silent. Past the deadline the dispatcher may
            # just be slow, and all gateways would leave it at once.
            self._selector.exclude(node)
        if failure is ForwardFailure.NOT_SENT:
            state.may_dispatch = False
            return None
        state.may_have_run = True
        state.may_have_run_at.add(choice.server_id)
        # The peer stands for the server that it may have sent the request to.
        state.tried.append(node)
        is_allowed = not is_late and state.route.is_repeatable
        has_attempt = len(set(state.tried)) < state.route.max_attempts
        if is_allowed and has_attempt and self._retry_budget.try_consume(state.service.name):
            return None
        return self._failures.lost(state, "dispatched")

    async def _repeat_or_fail(
        self, state: RequestState, reply: ForwardReply
    ) -> ClientResponse | None:
        """Decide on a request that the dispatcher would repeat: the retry budget is kept here."""
        if await self._retry_policy.may_repeat_dispatched(state):
            return None
        if state.may_have_run:
            return self._failures.lost(state, "dispatched")
        refusal = Refusal(RefusalReason.SERVER_REFUSED, reply.retry_after_s)
        return self._failures.refuse(state, refusal)

    # ---- silent dispatchers ----

    def _schedule_check(self) -> None:
        loop = asyncio.get_running_loop()
        due_s = loop.time() + CHECK_INTERVAL_S
        self._check = loop.call_at(due_s, self._take_back_from_silent, due_s)

    def _take_back_from_silent(self, due_s: float) -> None:
        """Take requests that may be repeated back from dispatchers that are not heard."""
        self._check = None
        holders = self._client.holders()
        if holders:
            self._schedule_check()
        if asyncio.get_running_loop().time() - due_s > LATE_CHECK_S:
            return
        for node in filter(self._selector.is_silent, holders):
            count = self._client.take_back(node)
            log_message(
                message_type="dispatcher:silent", level="WARNING", peer=node, requests=count
            )
