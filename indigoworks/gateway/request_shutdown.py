"""Finishes the requests in hand before the process exits."""

import asyncio

from indigoworks.common.clock import Clock
from indigoworks.forwarding.forward_server import ForwardServer
from indigoworks.gateway.active_requests import ActiveRequests
from indigoworks.gateway.front_server import FrontServer

LISTEN_AFTER_STOP_S = 2.6
"""Time after the stop signal for which new connections are accepted: the load balancer sends
callers here until two readiness probes have failed."""

LISTEN_SHARE = 0.5
"""Largest share of the time until exit for which new connections are accepted; the rest is left for
requests in flight. Takes effect only if that time is shorter than twice LISTEN_AFTER_STOP_S."""

LAST_RESPONSES_S = 0.8
LAST_RESPONSES_SHARE = 0.125
"""Time before the process would be killed, and its largest share of the grace, at which requests
that no server has answered get a response of the gateway. A server is given as long as possible,
and the response must leave the process, perhaps over a slow link."""

EXIT_SHARE = 0.5
"""Part of that time that is left when the process exits, whatever is still being written."""


class RequestShutdown:
    """Answers every request that was read, those of callers and those that peers forwarded.

    Requests that wait for a server are refused when no more connections are accepted, as are those
    that arrive later: others can serve them. What a server has is waited for until shortly before
    the end; then the caller is told that it may have run.
    """

    def __init__(
        self,
        front: FrontServer,
        forward_server: ForwardServer,
        active: ActiveRequests,
        clock: Clock,
    ) -> None:
        self._front = front
        self._forward_server = forward_server
        self._active = active
        self._clock = clock

    async def run(self, grace_s: float) -> None:
        """Return when all requests are answered, at the latest shortly before the end.

        :param grace_s: time until the process is killed.
        """
        kill_s = self._clock.now() + grace_s
        last_responses_s = min(LAST_RESPONSES_S, LAST_RESPONSES_SHARE * grace_s)
        exit_s = kill_s - EXIT_SHARE * last_responses_s
        self._front.is_stopping = True
        self._forward_server.is_stopping = True
        listen_s = LISTEN_SHARE * (exit_s - self._clock.now())
        await self._clock.sleep(min(LISTEN_AFTER_STOP_S, listen_s))
        self._front.stop_listening()
        self._active.close()
        await self._finish(kill_s - last_responses_s)
        self._active.end_all()
        await self._finish(exit_s)

    async def _finish(self, until_s: float) -> None:
        left_s = until_s - self._clock.now()
        await asyncio.gather(self._front.finish(left_s), self._forward_server.finish(left_s))
