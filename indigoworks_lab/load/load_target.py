"""Where a load is sent."""

from typing import Protocol

from indigoworks_lab.load.load_outcome import LoadOutcome
from indigoworks_lab.load.load_request import LoadRequest


class LoadTarget(Protocol):
    """Takes requests of a load."""

    async def send(self, request: LoadRequest, timeout_s: float) -> LoadOutcome:
        """Send one request and tell what became of it."""
        ...

    def close(self) -> None:
        """Close the connections."""
        ...
