"""A listening address of the simulated network."""

from collections.abc import Callable


class VirtualServer:
    """What `create_server` returns."""

    def __init__(self, on_close: Callable[[], None]) -> None:
        self._on_close = on_close

    def close(self) -> None:
        """Stop listening."""
        self._on_close()

    async def wait_closed(self) -> None:
        """Return at once."""
