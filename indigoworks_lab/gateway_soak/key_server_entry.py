"""A server writes its entry into the store, again and again."""

import asyncio
import base64
import json
import time

from indigoworks_lab.gateway_soak.key_server_settings import KeyServerSettings
from indigoworks_lab.launcher.free_ports import LOOPBACK

CALL_TIMEOUT_S = 1.0
MS_PER_S = 1000.0
TABLE = "servers"


class KeyServerEntry:
    """Heartbeats of a server: its process writes them, so that a stopped one writes none."""

    def __init__(self, settings: KeyServerSettings) -> None:
        self._settings = settings
        self._born_ms = int(time.time() * MS_PER_S)
        self._sequence = 0
        self._is_draining = False

    async def leave(self) -> None:
        """Say at once that the server leaves."""
        self._is_draining = True
        await self._write_in_time()

    async def remove(self) -> None:
        """The server has left."""
        self._is_draining = True
        await self._write_in_time(is_removed=True)

    async def run(self) -> None:
        """Write for ever; what the store does not take is written again with the next heartbeat."""
        while True:
            await self._write_in_time()
            await asyncio.sleep(self._settings.heartbeat_s)

    async def _write_in_time(self, is_removed: bool = False) -> None:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                await self._write(is_removed)
        except (OSError, TimeoutError):
            pass

    async def _write(self, is_removed: bool) -> None:
        if not self._settings.store_port:
            return
        self._sequence += 1
        body = self._body(is_removed)
        reader, writer = await asyncio.open_connection(LOOPBACK, self._settings.store_port)
        try:
            path = self._settings.store_write_path
            head = f"POST {path} HTTP/1.1\r\nHost: store\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            await reader.readline()
        finally:
            writer.transport.abort()

    def _body(self, is_removed: bool) -> bytes:
        settings = self._settings
        entry = {
            "service": settings.service,
            "address": f"{LOOPBACK}:{settings.listed_port}",
            "zone": settings.zone,
            "version": "1",
            "slots": settings.slots,
            "state": "draining" if self._is_draining else "ready",
            "warm_up_left_ms": 0,
            "born": self._born_ms,
            "seq": self._sequence,
        }
        value = base64.b64encode(json.dumps(entry).encode()).decode()
        put = {"table": TABLE, "part": "", "key": settings.server_id, "value": value}
        remove = {"table": TABLE, "part": "", "key": settings.server_id}
        puts, removes = ([], [remove]) if is_removed else ([put], [])
        return json.dumps({"expected": [], "put": puts, "remove": removes}).encode()
