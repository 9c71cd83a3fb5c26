"""What lets one try at a time of a suspect request go to servers."""

from collections.abc import Callable
from typing import Protocol

from indigoworks.gateway.refusal import Refusal


class AttemptLock(Protocol):
    """The right to send one try of a suspect request."""

    def release(self, is_served: bool, has_ended_server: Callable[[], bool]) -> None:
        """Give the right back.

        :param has_ended_server: tells whether a server ended under the try.
        """
        ...


class AttemptLocks(Protocol):
    """One lock for each suspect request, of all gateways together."""

    async def acquire(
        self, mark: int, limit_s: float, lease_s: float
    ) -> AttemptLock | Refusal | None:
        """Return the lock of a request, why it is not to be had, or None: nobody gives it out.

        :param mark: of the request, whoever sends it.
        :param limit_s: clock reading until which its caller may wait for it.
        :param lease_s: seconds after which it is free again in any case.
        """
        ...
