"""The HTTP server of a process, as the process runs it."""

from typing import Protocol


class HttpEndpoint(Protocol):
    """The HTTP server in front of a part."""

    def start(self) -> None:
        """Listen.

        :raises OSError: the address cannot be bound.
        """
        ...

    async def stop(self) -> None:
        """Stop the part, finish the answers in progress, and close."""
        ...
