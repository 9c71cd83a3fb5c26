"""Locks that let one attempt at a time of a suspect request go to servers."""

from collections.abc import Callable
from typing import Protocol

from indigoworks.gateway.refusal import Refusal


class AttemptLock(Protocol):
    """The right to send one attempt of a suspect request."""

    def release(self, is_served: bool, has_crashed_server: Callable[[], bool]) -> None:
        """Release the lock.

        :param has_crashed_server: tells whether a server crashed under the attempt.
        """
        ...


class AttemptLocks(Protocol):
    """One lock for each suspect request, shared by all gateways."""

    async def acquire(
        self, mark: int, limit_s: float, lease_s: float
    ) -> AttemptLock | Refusal | None:
        """Return the lock of a request, a refusal, or None if locks cannot be obtained at present.

        :param mark: fingerprint of the request's content, the same for all callers.
        :param limit_s: clock reading until which the request may wait for the lock.
        :param lease_s: seconds after which the lock expires.
        """
        ...
