"""Base of the handlers that show the platform's faults."""

import asyncio
import json
from collections.abc import Awaitable
from contextlib import suppress
from http import HTTPStatus

from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler

from indigoworks_lab.platform.platform_state import PlatformState
from indigoworks_lab.platform.rate_limiter import RateLimiter

DOWN_RETRY_AFTER_S = 1


class ServiceHandler(RequestHandler):
    """Refuses, delays or limits a request before its effect, and loses its answer after it."""

    def initialize(self, state: PlatformState) -> None:
        """Take the state of the stand-in."""
        self.state = state

    def limiter(self) -> RateLimiter | None:
        """Return the rate limit that holds for the request, or None."""
        return None

    def prepare(self) -> Awaitable[None] | None:
        """Show the faults that come before the effect."""
        return self._show_faults_before_effect()

    async def answer(self, status: int, fields: object) -> None:
        """Answer with JSON, unless the answer is to be lost."""
        self.set_header("Content-Type", "application/json")
        await self.answer_bytes(status, json.dumps(fields).encode())

    async def answer_bytes(self, status: int, body: bytes) -> None:
        """Answer with `body`, unless the answer is to be lost."""
        faults = self.state.faults
        if self.state.random.random() < faults.lose_answers_ratio:
            self.state.counts.answers_lost += 1
            self.detach().close()
            return
        if faults.answer_delay_s > 0:
            self.state.counts.delayed += 1
            await asyncio.sleep(faults.answer_delay_s)
        self.set_status(status)
        with suppress(StreamClosedError):  # the caller may have given up meanwhile
            await self.finish(body)

    async def _show_faults_before_effect(self) -> None:
        faults = self.state.faults
        if faults.down:
            self.state.counts.refused_down += 1
            self._refuse(HTTPStatus.SERVICE_UNAVAILABLE, DOWN_RETRY_AFTER_S)
            return
        limiter = self.limiter()
        wait_s = 0.0 if limiter is None else limiter.wait_s(asyncio.get_running_loop().time())
        if wait_s > 0:
            self.state.counts.rate_limited += 1
            self._refuse(HTTPStatus.TOO_MANY_REQUESTS, round(wait_s, 3))
            return
        if faults.delay_s > 0:
            self.state.counts.delayed += 1
            await asyncio.sleep(faults.delay_s)

    def _refuse(self, status: int, retry_after_s: float) -> None:
        self.set_status(status)
        self.set_header("Retry-After", str(retry_after_s))
        self.finish()
