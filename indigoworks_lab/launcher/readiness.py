"""Waiting until a started process answers over HTTP."""

import asyncio

from result import Err, Ok, Result
from tornado.httpclient import HTTPClientError
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from indigoworks_lab.launcher.launcher_errors import ProcessNotReady
from indigoworks_lab.launcher.managed_process import ManagedProcess

POLL_INTERVAL_S = 0.05
POLL_TIMEOUT_S = 1.0


async def wait_until_ready(
    process: ManagedProcess, url: str, timeout_s: float
) -> Result[None, ProcessNotReady]:
    """Poll `url` until it answers 200, at most `timeout_s` seconds."""
    client = SimpleAsyncHTTPClient(force_instance=True)
    try:
        async with asyncio.timeout(timeout_s):
            while not await _answers(client, url):
                if process.exit_code() is not None:
                    return Err(_not_ready(process, f"ended with code {process.exit_code()}"))
                await asyncio.sleep(POLL_INTERVAL_S)
            return Ok(None)
    except TimeoutError:
        return Err(_not_ready(process, f"did not answer 200 at {url} within {timeout_s} s"))
    finally:
        client.close()


async def _answers(client: SimpleAsyncHTTPClient, url: str) -> bool:
    try:
        await client.fetch(url, request_timeout=POLL_TIMEOUT_S, connect_timeout=POLL_TIMEOUT_S)
    except (HTTPClientError, OSError):
        return False
    return True


def _not_ready(process: ManagedProcess, what: str) -> ProcessNotReady:
    tail = process.log_text()[-2000:]
    return ProcessNotReady(f"{process.name} {what}.", f"See {process.log_path}; it ends:\n{tail}")
