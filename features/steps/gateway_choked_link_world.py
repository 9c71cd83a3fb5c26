"""The same gateways behind links whose packets queue, with the limits of the product's callers."""

import asyncio
import base64
from dataclasses import replace

from gateway_slow_link_world import TABLE, RelaySender, SlowLinkWorld, StorePort
from result import Err, Ok
from store_versions import at

from indigoworks.backend.errors import BackendAnswerLost
from indigoworks.rowstore.errors import StoreUnreachable
from indigoworks.rowstore.rows import Rows

WINDOW_BYTES = 64 * 1024
"""Bytes of one transfer that are on their way at a time."""

HEADERS_BYTES = 300
PERIOD_S = 0.02
STORE_TIMEOUT_S = 1.0
STORE_SILENCE_S = 1.0
STORE_WHOLE_S = 15.0
"""As in the adapter to the platform's store."""


class QueuedLink:
    """Carries packets one after the other; what comes waits for all that came before."""

    def __init__(self, bytes_per_s):
        self.bytes_per_s = bytes_per_s
        self.busy_until_s = 0.0

    def queue(self, count):
        now_s = asyncio.get_running_loop().time()
        self.busy_until_s = max(self.busy_until_s, now_s) + count / self.bytes_per_s

    def queued_s(self):
        return max(0.0, self.busy_until_s - asyncio.get_running_loop().time())

    async def carry(self, count, chunk_received=lambda: None):
        while count > 0:
            packet = min(count, WINDOW_BYTES)
            self.queue(packet)
            await asyncio.sleep(self.queued_s())
            chunk_received()
            count -= packet


class Limit:
    """The limit of one exchange, moved on while its answer comes."""

    def __init__(self, timeout, idle_timeout_s, total_timeout_s):
        self.timeout, self.idle_timeout_s, self.total_timeout_s = (
            timeout,
            idle_timeout_s,
            total_timeout_s,
        )
        self.latest_s = float("inf")

    def headers_received(self):
        self.latest_s = asyncio.get_running_loop().time() + self.total_timeout_s
        self.chunk_received()

    def chunk_received(self):
        silent_s = asyncio.get_running_loop().time() + self.idle_timeout_s
        self.timeout.reschedule(min(silent_s, self.latest_s))


class LimitedStorePort(StorePort):
    """Answers queue behind what the link carries; a silent one is given up."""

    async def read(self, table, part):
        rows = self.store.rows(self.store.version - 1) if table == TABLE else ()
        return await self.limited(0.0, lambda: rows)

    async def follow(self, table, after, wait_s):
        if table != TABLE:
            return await self.limited(wait_s, lambda: (), asyncio.sleep(wait_s))
        waiting = self.store.wait_for_change(after.counter, wait_s)
        return await self.limited(wait_s, lambda: self.store.rows(after.counter), waiting)

    async def limited(self, wait_s, rows, waiting=None):
        asked_s = self.clock.now()
        try:
            async with asyncio.timeout(wait_s + STORE_TIMEOUT_S) as timeout:
                if waiting is not None:
                    await waiting
                answer, version, made_s = rows(), self.store.version, self.clock.now()
                if answer and self.store.loses_answers:
                    await asyncio.Event().wait()
                limit = Limit(timeout, STORE_SILENCE_S, STORE_WHOLE_S)
                await self.link.carry(HEADERS_BYTES)
                limit.headers_received()
                true_at_s = self.health.record_response(asked_s, made_s)
                encoded = sum(len(base64.b64encode(each.value)) for each in answer)
                await self.link.carry(encoded, limit.chunk_received)
                return Ok(Rows(answer, at(version), true_at_s))
        except TimeoutError:
            self.health.record_trouble("follow", "lost")
            return Err(StoreUnreachable("", ""))


class LimitedRelaySender(RelaySender):
    """The same of answers of relays."""

    async def send(self, address, build, timeout_s, limits=None, needs_new=False):
        relay = next(each for each in self.world.gateways if each.address == address)
        query = build().path.partition("?")[2]
        try:
            async with asyncio.timeout(timeout_s) as timeout:
                answer = await relay.relay.server.respond(query)
                await self.link.carry(HEADERS_BYTES)
                limit = Limit(timeout, limits.idle_timeout_s, limits.total_timeout_s)
                limit.headers_received()
                headers_s = asyncio.get_running_loop().time()
                relay.link.queue(len(answer.body))
                await self.link.carry(len(answer.body), limit.chunk_received)
                return Ok(replace(answer, headers_s=headers_s))
        except TimeoutError:
            return Err(BackendAnswerLost("", ""))


class ChokedLinkWorld(SlowLinkWorld):
    """The same zone; `choke` keeps packets waiting on the slow links."""

    make_link, make_port, make_sender = QueuedLink, LimitedStorePort, LimitedRelaySender

    async def choke(self, queued_s, bytes_per_s):
        """Let requests put packets on each slow link as long as no more than `queued_s` wait."""
        while True:
            for gateway in self.gateways:
                if gateway.relay.capacity == 0 and gateway.link.queued_s() < queued_s:
                    gateway.link.queue(bytes_per_s * PERIOD_S)
            await asyncio.sleep(PERIOD_S)
