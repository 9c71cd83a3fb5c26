"""Handler of the data requests of a stand-in back end."""

import asyncio
from collections.abc import Callable
from http.client import responses

from tornado.iostream import StreamClosedError

from indigoworks.backend.backend_response import BackendResponse
from indigoworks.backend.owned_request import OwnedRequest
from indigoworks_lab.backend.answer_fate import AnswerFate
from indigoworks_lab.backend.json_handler import JsonHandler
from indigoworks_lab.backend.request_parser import parse_request
from indigoworks_lab.backend.stand_in_server import StandInServer

OverLimit = Callable[[], bool]


class DataHandler(JsonHandler):
    """Any method under /v1/."""

    def initialize(self, server: StandInServer, is_over_limit: OverLimit) -> None:  # type: ignore[override]
        """Take the server, and whether it has too many connections now."""
        super().initialize(server)
        self._is_over_limit = is_over_limit
        self._execution: asyncio.Task[BackendResponse] | None = None

    async def get(self) -> None:
        """Run the request and answer it."""
        parsed = parse_request(self.request)
        if parsed.is_err():
            self.refuse(parsed.unwrap_err(), 400)
            return
        request = parsed.unwrap()
        if self._is_over_limit():
            self.set_header("Connection", "close")
            self._send_whole(self.stand_in.shed(request))
            return
        await self._run_and_answer(request)

    post = put = delete = patch = get

    async def head(self) -> None:
        """Run the request and answer it without the body."""
        await self.get()

    def on_connection_close(self) -> None:
        """Take the loss of the connection as cancellation."""
        if self._execution is not None:
            self._execution.cancel()

    async def _run_and_answer(self, request: OwnedRequest) -> None:
        self._execution = asyncio.ensure_future(self.stand_in.execute(request))
        try:
            answer = await self._execution
        except asyncio.CancelledError:
            return
        fate = self.stand_in.draw_answer_fate()
        if fate is AnswerFate.WHOLE:
            self._send_whole(answer)
        else:
            await self._break_off(answer, fate)

    def _send_whole(self, answer: BackendResponse) -> None:
        self.set_status(answer.status)
        for name, value in answer.headers:
            self.set_header(name, value)
        self.finish(answer.body)

    async def _break_off(self, answer: BackendResponse, fate: AnswerFate) -> None:
        stream = self.detach()
        try:
            if fate is AnswerFate.CUT:
                await stream.write(_half_of(answer))
        except StreamClosedError:
            return
        finally:
            stream.close()


def _half_of(answer: BackendResponse) -> bytes:
    lines = [f"HTTP/1.1 {answer.status} {responses.get(answer.status, 'Unknown')}"]
    lines += [f"{name}: {value}" for name, value in answer.headers]
    lines.append(f"Content-Length: {len(answer.body)}")
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1") + answer.body[: len(answer.body) // 2]
