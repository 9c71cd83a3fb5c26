"""A node that serves the administration API in a thread, for commands that ask it."""

import asyncio
import threading

from admin_fakes import make_plane
from prometheus_client import CollectorRegistry
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application

from indigoworks.admin.admin_operations import all_operations
from indigoworks.admin.health_report import HealthReport
from indigoworks.admin.http_handlers import AdminHandler, admin_http_handlers

STOP_TIMEOUT_S = 10.0


class CuttingHandler(AdminHandler):
    """Carries a change out and then closes the connection instead of answering."""

    def _write_answer(self, answer):
        if self.request.method == "PUT":
            self.request.connection.stream.close()
        super()._write_answer(answer)


class CommandNode:
    """An administration over a control plane of the tests, on a free port of loopback."""

    def __init__(self, cuts_answers=False):
        self.plane = make_plane()
        self._cuts_answers = cuts_answers
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self.url = self._run(self._start())

    def stop(self):
        self._run(self._close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(STOP_TIMEOUT_S)
        assert not self._thread.is_alive()
        self._loop.close()

    def _run(self, work):
        return asyncio.run_coroutine_threadsafe(work, self._loop).result(STOP_TIMEOUT_S)

    async def _start(self):
        operations = all_operations(self.plane)
        rules = admin_http_handlers(operations, CollectorRegistry(), lambda: HealthReport(True))
        if self._cuts_answers:
            rules[0] = (rules[0][0], CuttingHandler, rules[0][2])
        self._server = HTTPServer(Application(rules))
        listener, port = bind_unused_port()
        self._server.add_socket(listener)
        return f"http://127.0.0.1:{port}"

    async def _close(self):
        self._server.stop()
        await self._server.close_all_connections()
