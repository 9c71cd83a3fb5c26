"""Decides whether a request that was not served may be retried."""

from indigoworks.common.clock import Clock
from indigoworks.gateway.crash_attribution import CrashAttribution
from indigoworks.gateway.local_retry_budget import LocalRetryBudget
from indigoworks.gateway.owner_lookup import OwnerLookup
from indigoworks.gateway.request_log import RequestLog
from indigoworks.gateway.request_sender import MISDIRECTED
from indigoworks.gateway.request_state import RequestState
from indigoworks.gateway.server_response import ExchangeResult, ServerResponse

MISDIRECTED_PAUSE_S = 0.02
"""Pause before the first retry of a request at a keyed service; the n-th waits n times as long. The
usual reason is a server that does not hold the key (421), but it applies to any."""

MAX_MISDIRECTED = 3
"""Most retries of one request at a keyed service, for any reason."""

MAX_NOT_SENT = 4
"""Most retries of one request after attempts that reached no server."""


class RetryPolicy:
    """Retries a request that provably did not run, whatever its method, and one that may have run
    only if it is repeatable.

    At a keyed service, a request that its server refused is retried only after a 421. A retry
    consumes one of the retry budget unless the attempt before it reached no server. A dispatcher
    leaves such a retry to the gateway to which the caller's request came.

    At a keyed service the next attempt goes to whoever owns the key by then, so that the bound of
    the route on servers is checked when the owner is known.
    """

    def __init__(
        self,
        crash_attribution: CrashAttribution,
        retry_budget: LocalRetryBudget,
        owners: OwnerLookup,
        log: RequestLog,
        clock: Clock,
    ) -> None:
        self._crash_attribution = crash_attribution
        self._owners = owners
        self._retry_budget = retry_budget
        self._log = log
        self._clock = clock

    async def may_retry(self, state: RequestState, response: ServerResponse) -> bool:
        """Return whether to retry a request after an attempt.

        Records in `state` whether the request may have run, consumes the retry from the budget,
        and pauses before a retry at a keyed service.
        """
        if response.may_have_run:
            state.may_have_run = True
            state.may_have_run_at.add(state.tried[-1])
        if self._clock.now() >= state.deadline_s:
            return False
        if response.may_have_run and not state.route.is_repeatable:
            return False
        if response.may_have_run and not await self._crash_attribution.may_retry(state):
            return False
        if state.service.is_keyed:
            return await self._may_retry_keyed(state, response)
        if response.was_sent and len(set(state.tried)) >= state.route.max_attempts:
            return False
        return self._consume_retry(state, response)

    def may_send_to(self, state: RequestState, server_id: str) -> bool:
        """Return whether the route allows a request to run at a server, after its other attempts.

        Servers that provably did not run it do not count, nor do those that are gone since.
        """
        if server_id in state.may_have_run_at:
            return True
        others = (each for each in state.may_have_run_at if not self._owners.is_gone(each))
        return sum(1 for _ in others) < state.route.max_attempts

    def may_send_to_owner(self, state: RequestState) -> bool:
        """Return whether the present owner of a request's key, if it has one, may get it."""
        if not state.may_have_run_at or state.request.key is None or not state.service.is_keyed:
            return True
        owner = self._owners.find(state.service.name, state.request.key).server
        return owner is None or self.may_send_to(state, owner.server_id)

    async def may_repeat_dispatched(self, state: RequestState) -> bool:
        """Return whether to repeat a request that its dispatcher would send again.

        The budget of the gateway to which the caller's request came is used.
        """
        result = ExchangeResult.LOST if state.may_have_run else ExchangeResult.ANSWERED
        response = ServerResponse(result, detail="dispatched")
        return await self._may_retry_keyed(state, response)

    async def _may_retry_keyed(self, state: RequestState, response: ServerResponse) -> bool:
        """Decide for a keyed service, where only the current owner of the key can serve."""
        if response.is_not_run and response.status != MISDIRECTED:
            return False
        state.misdirected_count += 1
        if state.misdirected_count > MAX_MISDIRECTED:
            return False
        if not self._consume_retry(state, response):
            return False
        await self._clock.sleep(MISDIRECTED_PAUSE_S * state.misdirected_count)
        return True

    def _consume_retry(self, state: RequestState, response: ServerResponse) -> bool:
        if not response.was_sent:
            # Nothing reached a server, so this does not count as a retry.
            return state.count_unsent() <= MAX_NOT_SENT
        if state.is_dispatched:
            state.is_repeat_due = True
            return False
        is_granted = self._retry_budget.try_consume(state.service.name)
        self._log.retried(state, response, is_granted)
        return is_granted
