"""Serves changed rows to other gateways, as a handler of the HTTP server for peers."""

import asyncio
from urllib.parse import parse_qs

from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.iostream import StreamClosedError

from indigoworks.backend.http_response import HttpResponse
from indigoworks.common.clock import Clock
from indigoworks.relay.feed_response import FeedResponse
from indigoworks.relay.feed_response_codec import encode_feed_response
from indigoworks.relay.relay_selector import RelaySelector
from indigoworks.relay.relayed_store import MAX_PROOF_AGE_S, UNAVAILABLE_STATUS, RelayedStore
from indigoworks.rowstore.row import Row
from indigoworks.rowstore.store_health import StoreHealth
from indigoworks.rowstore.store_version import StoreVersion

FRESHNESS_CHECK_PERIOD_S = 0.2
"""Period of the check whether the store's responses are still fresh."""

MAX_WAIT_S = 30.0
MS_PER_S = 1000.0
OK_STATUS = 200
BAD_REQUEST_STATUS = 400


class FeedServer:
    """Serves the histories of this process while it reads the store directly.

    A request is a long poll: it waits until there are new rows, until its time is over, or until
    the store has been silent for so long that the requester should ask the store itself.
    """

    def __init__(
        self,
        store: RelayedStore,
        selector: RelaySelector,
        health: StoreHealth,
        clock: Clock,
    ) -> None:
        self._store = store
        self._selector = selector
        self._health = health
        self._clock = clock
        self._request_tasks: set[asyncio.Task[None]] = set()
        self._has_requests = asyncio.Event()

    def stop(self) -> None:
        """Cancel the waiting requests."""
        for task in self._request_tasks:
            task.cancel()

    async def run(self) -> None:
        """Wake waiting requests once the store's responses are stale; runs until cancelled."""
        while True:
            # Most processes of a large group serve nobody: they need no timer.
            await self._has_requests.wait()
            await self._clock.sleep(FRESHNESS_CHECK_PERIOD_S)
            if not self._request_tasks:
                self._has_requests.clear()
            elif not self._is_fresh():
                self._store.wake_waiters()

    def handle(self, request: HTTPServerRequest) -> None:
        """Start to serve a request of a peer."""
        task = asyncio.ensure_future(self._serve(request))
        self._request_tasks.add(task)
        self._has_requests.set()
        task.add_done_callback(self._request_tasks.discard)

    async def respond(self, query: str) -> HttpResponse:
        """Return the response to a request, once there are new rows or its time is over.

        :param query: query string of the request's URL.
        """
        fields = parse_qs(query)
        try:
            table = fields["table"][0]
            after = StoreVersion(int(fields["era"][0]), int(fields["after"][0]))
            wait_s = min(int(fields["wait_ms"][0]) / MS_PER_S, MAX_WAIT_S)
        except (KeyError, ValueError):
            return HttpResponse(BAD_REQUEST_STATUS, (), b"Send table, era, after and wait_ms.")
        self._health.eras.record_era(after.era, "asker")
        self._selector.record_request()
        if not self._store.reads_store_directly():
            reason = b"Ask the store: this gateway asks another one."
            return HttpResponse(UNAVAILABLE_STATUS, (), reason)
        response = await self._feed_response(table, after, wait_s)
        return HttpResponse(OK_STATUS, (), encode_feed_response(response))

    async def _serve(self, request: HTTPServerRequest) -> None:
        response = await self.respond(request.query)
        connection = request.connection
        assert connection is not None
        headers = HTTPHeaders({"Content-Length": str(len(response.body))})
        start_line = ResponseStartLine("HTTP/1.1", response.status, "")
        try:
            connection.write_headers(start_line, headers, response.body)
            connection.finish()
        except (StreamClosedError, OSError):
            pass

    async def _feed_response(self, table: str, after: StoreVersion, wait_s: float) -> FeedResponse:
        history = self._store.history(table)
        until_s = self._clock.now() + wait_s
        if not history.knows_since(after) and history.knows_all():
            return self._response_with(history.all_rows(), history.version, is_whole=True)
        while history.knows_since(after) and not history.has_after(after) and self._is_fresh():
            left_s = until_s - self._clock.now()
            if left_s <= 0:
                break
            await history.wait(left_s)
        return self._response_with(
            history.rows_after(after),
            max(after, history.version),
            is_gone=not history.knows_since(after),
        )

    def _response_with(
        self,
        rows: tuple[Row, ...],
        version: StoreVersion,
        is_gone: bool = False,
        is_whole: bool = False,
    ) -> FeedResponse:
        trouble_s = self._health.last_trouble_s
        return FeedResponse(
            rows,
            version,
            self._health.proof_age_s(),
            float("inf") if trouble_s is None else self._clock.now() - trouble_s,
            is_gone,
            is_whole,
        )

    def _is_fresh(self) -> bool:
        return self._health.proof_age_s() <= MAX_PROOF_AGE_S
