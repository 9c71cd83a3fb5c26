"""A stand-in back end as a process of its own."""

import asyncio
import os
import signal
import sys
from random import Random

from eliot import log_message, to_file

from indigoworks.common.clock import Clock, LoopClock
from indigoworks_lab.backend.stand_in_http_server import StandInHttpServer
from indigoworks_lab.backend.stand_in_identity import StandInIdentity
from indigoworks_lab.backend.stand_in_profile import StandInProfile
from indigoworks_lab.backend.stand_in_server import StandInServer

DRAIN_LIMIT_S = 15.0
"""Longest wait for the controller to take the grants away."""

LINGER_S = 2.5
"""An emptied server goes on refusing for this long: longer than a router's view lease, so that
no router that still knows the old owner finds a closed connection."""

POLL_S = 0.05
INCARNATION_BYTES = 8

ENDED_EXIT_CODE = 70
"""Exit code of a process that ended under a request, as its faults say."""

MS_PER_S = 1000


def run_server(
    name: str,
    service: str,
    zone: str,
    host: str,
    port: int,
    slots: int = 2,
    connections: int = 100,
    seed: int = 0,
    queue_limit: int = StandInProfile.queue_limit,
    service_median_ms: float = StandInProfile.service_median_s * MS_PER_S,
    service_sigma: float = StandInProfile.service_sigma,
    cold_requests: int = StandInProfile.cold_requests,
) -> int:
    """Run one stand-in back end until SIGTERM; drain then, and return the exit code.

    A second SIGTERM ends the process without waiting. See StandInProfile for the numbers.
    """
    to_file(sys.stdout)
    profile = StandInProfile(
        slots=slots,
        connections=connections,
        queue_limit=queue_limit,
        service_median_s=service_median_ms / MS_PER_S,
        service_sigma=service_sigma,
        cold_requests=cold_requests,
    )
    # Not from the seed: two runs of one server must differ in it.
    incarnation = os.urandom(INCARNATION_BYTES).hex()
    identity = StandInIdentity(name, incarnation, service, zone)
    return asyncio.run(_serve(identity, profile, host, port, seed))


async def _serve(
    identity: StandInIdentity, profile: StandInProfile, host: str, port: int, seed: int
) -> int:
    clock = LoopClock()
    server = StandInServer(identity, profile, clock, Random(f"{seed}/{identity.name}"))
    server.on_end = lambda: os._exit(ENDED_EXIT_CODE)
    shell = StandInHttpServer(server, clock)
    try:
        address = shell.listen(host, port)
    except OSError as error:
        log_message(message_type="backend:bind_failed", host=host, port=port, error=str(error))
        return 1
    signals = _install_signals()
    log_message(
        message_type="backend:started",
        name=identity.name,
        incarnation=identity.incarnation,
        address=str(address),
    )
    await signals.get()
    await _drain_or_second_signal(server, clock, signals)
    shell.stop_listening()
    await shell.close_connections()
    log_message(message_type="backend:stopped", name=identity.name)
    return 0


def _install_signals() -> asyncio.Queue[int]:
    signals: asyncio.Queue[int] = asyncio.Queue()
    loop = asyncio.get_running_loop()
    for each in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(each, signals.put_nowait, int(each))
    return signals


async def _drain_or_second_signal(
    server: StandInServer, clock: Clock, signals: asyncio.Queue[int]
) -> None:
    drain = asyncio.ensure_future(_drain(server, clock))
    second = asyncio.ensure_future(signals.get())
    await asyncio.wait({drain, second}, return_when=asyncio.FIRST_COMPLETED)
    drain.cancel()
    second.cancel()


async def _drain(server: StandInServer, clock: Clock) -> None:
    log_message(message_type="backend:draining", name=server.identity.name)
    was_owner = not server.is_empty
    server.drain()
    try:
        async with asyncio.timeout(DRAIN_LIMIT_S):
            while not server.is_empty:
                await clock.sleep(POLL_S)
        log_message(message_type="backend:emptied", name=server.identity.name)
    except TimeoutError:
        log_message(message_type="backend:drain_timed_out", name=server.identity.name)
    if was_owner:
        await clock.sleep(LINGER_S)
