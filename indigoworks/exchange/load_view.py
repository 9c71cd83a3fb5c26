"""Load that other gateways put on servers."""

from typing import Protocol


class LoadView(Protocol):
    """Requests in flight and service times, as other gateways report them."""

    def in_flight(self, server_id: str) -> int:
        """Return the requests in flight to a server from other gateways."""
        ...

    def service_s(self, server_id: str) -> float | None:
        """Return the service time of a request at a server as others measured it; None: unknown."""
        ...

    def load_age_s(self) -> float:
        """Return the mean age of the reports counted by `in_flight`; 0 if there is none."""
        ...
