"""What is known of the load that others put on servers."""

from typing import Protocol


class LoadView(Protocol):
    """Requests in flight and times of requests, as others than the asker know them."""

    def in_flight(self, server_id: str) -> int:
        """Return the requests in flight to a server, without those of the asker itself."""
        ...

    def service_s(self, server_id: str) -> float | None:
        """Return the seconds that a request takes at a server as others measured it; None: none."""
        ...
