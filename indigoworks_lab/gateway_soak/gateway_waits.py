"""What a soak waits for at its gateways."""

import asyncio
import contextlib
from typing import Protocol

from indigoworks.common.address import Address
from indigoworks_lab.gateway_soak.caller_connection import CallerConnection
from indigoworks_lab.launcher.managed_process import ManagedProcess
from indigoworks_lab.load.process_cpu import process_cpu_s

POLL_S = 0.01


async def has_used(process: ManagedProcess, cpu_s: float) -> None:
    """Wait until the process has used so much processor time, or has ended."""
    with contextlib.suppress(OSError):
        while process.exit_code() is None and process_cpu_s(process.pid) < cpu_s:  # noqa: ASYNC110
            await asyncio.sleep(POLL_S)


class ProbedGateway(Protocol):
    """A gateway's newest process, and where it answers the probe of readiness."""

    process: ManagedProcess
    readiness: Address


async def is_ready(gateway: ProbedGateway) -> bool:
    """Tell whether the gateway answers its probe with 200, or its process has ended."""
    if gateway.process.exit_code() is not None:
        return True
    connection = await CallerConnection.open(gateway.readiness)
    if connection is None:
        return False
    with contextlib.closing(connection):
        await connection.send(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
        answer = await connection.receive()
        return getattr(answer, "status", 0) == 200
