"""Calls of a run, recorded as the checkers read them."""

import asyncio

from indigoworks_lab.checkers.history.call import Call
from indigoworks_lab.checkers.history.call_outcome import CallOutcome
from indigoworks_lab.client.call_answer import CallAnswer
from indigoworks_lab.client.router_caller import RouterCaller
from indigoworks_lab.launcher.router_plan import RouterPlan

OUTCOMES = {
    "completed": CallOutcome.COMPLETED,
    "not-run": CallOutcome.NOT_RUN,
    "refused": CallOutcome.NOT_RUN,
    "unknown": CallOutcome.UNKNOWN,
    "lost": CallOutcome.UNKNOWN,
}


class CallRecorder:
    """Makes calls in turn over routers and keys; every other one must not run twice."""

    def __init__(self, routers: tuple[RouterPlan, ...], service: str, keys: int) -> None:
        self._routers = routers
        self._service = service
        self._keys = keys
        self._caller = RouterCaller()
        self.calls: list[Call] = []
        self.foreign_answers: list[CallAnswer] = []

    def keys_served_since(self, moment_s: float) -> set[bytes]:
        """Return the keys of the calls that began after `moment_s` and completed."""
        return {
            call.key
            for call in self.calls
            if call.invoked_s >= moment_s and call.outcome is CallOutcome.COMPLETED
        }

    def routers_served_since(self, moment_s: float) -> set[str]:
        """Return the routers that completed a call that began after `moment_s`."""
        return {
            call.router
            for call in self.calls
            if call.invoked_s >= moment_s and call.outcome is CallOutcome.COMPLETED
        }

    async def call(self, number: int) -> CallAnswer:
        """Make the call with the given number."""
        router = self._routers[number % len(self._routers)]
        key = f"key-{number // 2 % self._keys}"
        is_repeatable = number % 2 == 0
        method = "GET" if is_repeatable else "POST"
        invoked_s = asyncio.get_running_loop().time()
        body = None if is_repeatable else b"entry"
        answer = await self._caller.call(router.http, method, self._service, key, body)
        self._record(answer, router.name, key, is_repeatable, invoked_s)
        return answer

    def _record(
        self, answer: CallAnswer, router: str, key: str, is_repeatable: bool, invoked_s: float
    ) -> None:
        call = Call(
            request_id=answer.request_id,
            service=self._service,
            key=key.encode(),
            router=router,
            is_repeatable=is_repeatable,
            invoked_s=invoked_s,
            answered_s=asyncio.get_running_loop().time(),
            outcome=OUTCOMES[answer.outcome],
            status=answer.status,
            body=answer.body,
        )
        self.calls.append(call)
        is_whole = answer.is_own and answer.fields().get("request_id") == answer.request_id
        if call.outcome is CallOutcome.COMPLETED and not is_whole:
            self.foreign_answers.append(answer)
