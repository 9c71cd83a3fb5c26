"""Restarts work that must go on until it is cancelled."""

from collections.abc import Callable, Coroutine
from typing import Any

from eliot import log_message

from indigoworks.common.clock import Clock

FIRST_DELAY_S = 0.1
"""Delay before the first restart; it doubles with each further failure."""

MAX_DELAY_S = 5.0

STABLE_S = 10.0
"""Time without a failure after which earlier ones no longer count."""

Work = Callable[[], Coroutine[Any, Any, None]]


async def supervise(
    name: str, work: Work, clock: Clock, on_failure: Callable[[int], None] | None = None
) -> None:
    """Run `work` until it returns or is cancelled; start it again after an exception.

    :param name: of the work, for the log.
    :param on_failure: called with the number of failures in a row.
    """
    failures = 0
    while True:
        started_s = clock.now()
        try:
            await work()
            return
        except Exception as error:
            if clock.now() - started_s >= STABLE_S:
                failures = 0
            failures += 1
            delay_s = min(FIRST_DELAY_S * 2.0 ** min(failures - 1, 10), MAX_DELAY_S)
            log_message(
                message_type="process:fault",
                level="ERROR",
                part=name,
                reason=f"{type(error).__name__}: {error}",
                failures=failures,
                restart_in_s=delay_s,
            )
            if on_failure is not None:
                on_failure(failures)
        await clock.sleep(delay_s)
