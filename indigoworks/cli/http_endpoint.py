"""Interface of the HTTP server of a process."""

from typing import Protocol


class HttpEndpoint(Protocol):
    """The HTTP server in front of a component."""

    def start(self) -> None:
        """Start listening.

        :raises OSError: the address cannot be bound.
        """
        ...

    async def stop(self) -> None:
        """Stop the component, then close the server and its connections.

        A router's server waits for responses in progress before it closes; a controller's does not.
        """
        ...
