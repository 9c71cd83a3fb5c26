"""Program: a server that holds keys, as a process of its own; its settings are its argument."""

import asyncio
import signal
import sys
import time
from pathlib import Path

from indigoworks_lab.gateway_soak.key_event import KeyEvent
from indigoworks_lab.gateway_soak.key_server import KeyServer
from indigoworks_lab.gateway_soak.key_server_entry import KeyServerEntry
from indigoworks_lab.gateway_soak.key_server_settings import KeyServerSettings
from indigoworks_lab.launcher.free_ports import LOOPBACK

BACKLOG = 512
POLL_S = 0.05
LEAVE_S = 8.0
"""A server that leaves ends after this also where it still holds keys."""

LINGER_S = 1.0
"""It goes on refusing for so long after its last key is gone."""


def main(arguments: list[str]) -> int:
    """Serve until the process is killed; SIGTERM: leave, then end."""
    settings = KeyServerSettings.from_text(Path(arguments[0]).read_text())
    asyncio.run(_serve(settings))
    return 0


async def _serve(settings: KeyServerSettings) -> None:
    with open(settings.record_path, "a") as record:  # noqa: ASYNC230

        def write(event: KeyEvent) -> None:
            record.write(event.to_line() + "\n")
            record.flush()

        write(KeyEvent("started", time.monotonic()))
        server = KeyServer(settings, write)
        listener = await asyncio.start_server(
            server.serve, LOOPBACK, settings.port, backlog=BACKLOG, reuse_address=True
        )
        entry = KeyServerEntry(settings)
        leaving = asyncio.Event()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, leaving.set)
        async with listener:
            beats = asyncio.ensure_future(entry.run())
            await leaving.wait()
            await entry.leave()
            until_s = time.monotonic() + LEAVE_S
            while time.monotonic() < until_s and server.holds_any():  # noqa: ASYNC110
                await asyncio.sleep(POLL_S)
            await asyncio.sleep(LINGER_S)
            beats.cancel()
            await entry.remove()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
