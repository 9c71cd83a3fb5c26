"""Interface of the component that a process runs."""

from typing import Protocol


class ProcessComponent(Protocol):
    """A controller or a router."""

    async def start(self) -> None:
        """Open the control port and start.

        :raises OSError: the control port cannot be bound.
        """
        ...

    async def stop(self) -> None:
        """Refuse new work, finish work in progress, and stop."""
        ...

    async def wait_failed(self) -> str:
        """Wait until the component has failed, and return the reason.

        The process then exits: a machine whose process has ended is replaced, one whose process
        runs on with a failed task is not.
        """
        ...
