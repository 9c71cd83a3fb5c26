"""A server of a soak: works as long as the path says, and notes what it ran."""

import asyncio
from random import Random

from gateway_scripted_server import ScriptedServer
from platform_folder_store_stand_in import FOLDER  # noqa: F401 - makes header_names importable

from header_names import HEADER_NAMES  # isort: skip

from indigoworks_lab.crash_simulation.machine_wishes import LimitChange
from indigoworks_lab.gateway_soak.server_run import ServerRun
from indigoworks_lab.gateway_soak.server_wish import ServerArrival, ServerWish

MISDIRECTED = 421
TURNED_AWAY = 503
MS_PER_S = 1000.0


class SoakServer(ScriptedServer):
    """Notes in `history` what arrives, what it begins to work on and what it asks for.

    :param unanswered: share of the requests that get no answer, nor do those that follow on their
        connection.
    :ivar limits: limits that it names now, of which the lowest holds.
    :ivar rests: rests that it asks for now, in seconds; it turns all away while there are any.
    """

    def __init__(self, server_id, history, unanswered=0.0) -> None:
        super().__init__([])
        self._unanswered = unanswered
        self._random = Random(f"unanswered {server_id}")
        self.rests = []
        self.limits = []
        self._history = history
        self.server_id = server_id
        self.is_leaving = False

    def name_limit(self, per_s) -> None:
        """Name one more limit from now on."""
        self.limits.append(per_s)
        self._note_limit()

    def drop_limit(self, per_s) -> None:
        """Name it no more."""
        self.limits.remove(per_s)
        self._note_limit()

    def _note_limit(self) -> None:
        now_s = asyncio.get_running_loop().time()
        change = LimitChange(now_s, min(self.limits, default=None))
        self._history.limits.setdefault(self.server_id, []).append(change)

    def _behaviour(self):
        return SoakServer._work_on

    async def _work_on(self, request, writer) -> bool:
        request_id = request.header(HEADER_NAMES.request_id)
        if request_id is None:
            self._answer(writer, request_id, 503 if self.is_leaving else 200)
            return True
        if request.header(HEADER_NAMES.server_id) not in (None, self.server_id):
            self._answer(writer, request_id, MISDIRECTED)
            return True
        now_s = asyncio.get_running_loop().time()
        self._history.arrivals.append(ServerArrival(request_id, self.server_id, now_s))
        if self.rests:
            self._answer(writer, request_id, TURNED_AWAY, max(self.rests))
            return True
        if self._random.random() < self._unanswered:
            await asyncio.Event().wait()
        self._history.runs.append(ServerRun(request_id, self.server_id, now_s))
        await asyncio.sleep(float(request.target.rpartition("/")[2]) / MS_PER_S)
        self._answer(writer, request_id, 200)
        return not self.is_leaving

    def _answer(self, writer, request_id, status, rest_s=0.0) -> None:
        body = b"work done"
        lines = [
            f"HTTP/1.1 {status} X",
            f"{HEADER_NAMES.answering_server_id}: {self.server_id}",
            f"{HEADER_NAMES.signature}: signed",
            f"Content-Length: {len(body)}",
        ]
        if request_id is not None:
            lines.append(f"{HEADER_NAMES.request_id}: {request_id}")
        if rest_s:
            lines += [f"{HEADER_NAMES.not_run}: shed", f"Retry-After: {rest_s}"]
        if self.is_leaving:
            lines += ["Connection: close", "Server-Leaving: 1"]
        limit_per_s = min(self.limits, default=None)
        if limit_per_s is not None:
            lines.append(f"Server-Limit: {limit_per_s}")
        if request_id is not None and (rest_s or self.is_leaving or self.limits):
            now_s = asyncio.get_running_loop().time()
            wish = ServerWish(
                request_id, self.server_id, now_s, rest_s, self.is_leaving, limit_per_s
            )
            self._history.wishes.append(wish)
        writer.write("\r\n".join((*lines, "", "")).encode() + body)
