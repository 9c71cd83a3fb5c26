"""A server of a soak: works as long as the path says, and notes what it ran."""

import asyncio

from gateway_scripted_server import ScriptedServer
from platform_folder_store_stand_in import FOLDER  # noqa: F401 - makes header_names importable

from header_names import HEADER_NAMES  # isort: skip

from indigoworks_lab.gateway_soak.server_run import ServerRun

MISDIRECTED = 421
MS_PER_S = 1000.0


class SoakServer(ScriptedServer):
    """:param runs: gets each request that it begins to work on."""

    def __init__(self, server_id, runs) -> None:
        super().__init__([])
        self.server_id = server_id
        self.is_leaving = False
        self._runs = runs

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
        self._runs.append(ServerRun(request_id, self.server_id, asyncio.get_running_loop().time()))
        await asyncio.sleep(float(request.target.rpartition("/")[2]) / MS_PER_S)
        self._answer(writer, request_id, 200)
        return not self.is_leaving

    def _answer(self, writer, request_id, status) -> None:
        body = b"work done"
        lines = [
            f"HTTP/1.1 {status} X",
            f"{HEADER_NAMES.answering_server_id}: {self.server_id}",
            f"{HEADER_NAMES.signature}: signed",
            f"Content-Length: {len(body)}",
        ]
        if request_id is not None:
            lines.append(f"{HEADER_NAMES.request_id}: {request_id}")
        if self.is_leaving:
            lines.append("Connection: close")
        writer.write("\r\n".join((*lines, "", "")).encode() + body)
