"""The requests in hand, which the end of the process may cut short."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from indigoworks.gateway.request_state import RequestState


class ActiveRequests:
    """Ends requests that the process will not finish, so that each gets a response of its own.

    Handling ends by cancellation for two reasons: the caller has left and needs no response, or the
    process stops and the caller waits for one.

    :ivar is_closed: nothing more is sent to servers.
    """

    def __init__(self) -> None:
        self._tasks: dict[RequestState, asyncio.Task[object]] = {}
        self._ended: set[RequestState] = set()
        self.is_closed = False

    @contextmanager
    def track(self, state: RequestState) -> Iterator[None]:
        """Count a request among those in hand while the current task handles it."""
        task = asyncio.current_task()
        assert task is not None
        self._tasks[state] = task
        try:
            yield
        finally:
            del self._tasks[state]
            self._ended.discard(state)

    def close(self) -> None:
        """End the requests that no server or peer has, and let no other one be sent."""
        self.is_closed = True
        self._end([state for state in self._tasks if not state.is_outcome_open])

    def end_all(self) -> None:
        """End all requests."""
        self.is_closed = True
        self._end(list(self._tasks))

    def absorb_cancellation(self, state: RequestState) -> bool:
        """Return whether handling was cancelled because the process stops.

        The cancellation then counts as handled: the task goes on to write a response.
        """
        if state not in self._ended:
            return False
        self._tasks[state].uncancel()
        return True

    def _end(self, states: list[RequestState]) -> None:
        for state in states:
            self._ended.add(state)
            self._tasks[state].cancel()
