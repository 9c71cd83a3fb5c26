"""Runs a component and its HTTP server until a stop signal."""

import asyncio

from eliot import log_message
from result import Err, Ok, Result

from indigoworks.cli.errors import AddressUnavailable, ProcessFailed
from indigoworks.cli.http_endpoint import HttpEndpoint
from indigoworks.cli.pending_command import Report
from indigoworks.cli.process_component import ProcessComponent
from indigoworks.cli.stop_state import StopState
from indigoworks.common.address import Address
from indigoworks.common.errors import IndigoworksError
from indigoworks.settings.process_settings import ProcessSettings


async def run_process(
    component: ProcessComponent, endpoint: HttpEndpoint, settings: ProcessSettings, stop: StopState
) -> Result[Report, IndigoworksError]:
    """Start `component` and `endpoint`, wait for a stop signal or a failure, and stop both.

    The HTTP server stays open while the component stops: requests in progress can still get their
    responses, and the component refuses new ones.

    :returns: AddressUnavailable if a port cannot be bound; ProcessFailed after a failure.
    """
    stop.listen()
    try:
        await component.start()
    except OSError as error:
        return Err(_unavailable(settings.control_address, error))
    try:
        endpoint.start()
    except OSError as error:
        await component.stop()
        return Err(_unavailable(settings.http_address, error))
    log_message(message_type="process:serving", address=str(settings.http_address))
    failure = await _wait_for_stop(component, stop)
    log_message(message_type="process:stopping")
    await endpoint.stop()
    log_message(message_type="process:stopped")
    return Ok("") if failure is None else Err(_failed(failure))


async def _wait_for_stop(component: ProcessComponent, stop: StopState) -> str | None:
    """Wait for a stop signal or a failure; return the failure's reason, or None."""
    stopping = asyncio.ensure_future(stop.wait())
    failing = asyncio.ensure_future(component.wait_failed())
    await asyncio.wait({stopping, failing}, return_when=asyncio.FIRST_COMPLETED)
    stopping.cancel()
    if not failing.done():
        failing.cancel()
        return None
    log_message(message_type="process:failed", level="ERROR", reason=failing.result())
    return failing.result()


def _failed(reason: str) -> ProcessFailed:
    return ProcessFailed(
        f"The process cannot continue: {reason}.",
        "Start it again; report the log's last lines if it happens twice.",
    )


def _unavailable(address: Address, error: OSError) -> AddressUnavailable:
    return AddressUnavailable(
        f"Cannot listen on {address}: {error.strerror or error}.",
        "Give an address of this machine and a port that is free.",
    )
