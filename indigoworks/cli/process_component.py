"""What a process runs."""

from typing import Protocol


class ProcessComponent(Protocol):
    """A controller or a router."""

    async def start(self) -> None:
        """Open the control port and begin.

        :raises OSError: the control port cannot be bound.
        """
        ...

    async def stop(self) -> None:
        """Refuse new work, finish what runs, and end."""
        ...

    async def wait_failed(self) -> str:
        """Wait until the part can no longer do its work, and return why.

        A machine whose process has ended is replaced; one that runs on with a dead task is not.
        """
        ...
