"""Permission to send grants to a server."""

from typing import Protocol


class GrantAdmission(Protocol):
    """Admits servers to which a leader is about to send grants."""

    async def admit(self, server_id: str) -> bool:
        """Return whether grants may be sent to a server now; may wait for that.

        Each call that returns True must be followed by one of `settle`.
        """
        ...

    def settle(self, server_id: str) -> None:
        """Record that the grant after `admit` has ended, and that its result is recorded."""
        ...

    def longest_hold_s(self) -> float:
        """Return the longest hold that may be granted now, in seconds."""
        ...


class AdmitAll:
    """Admits every server at once: no other process depends on what this one sends."""

    async def admit(self, server_id: str) -> bool:
        """Return True."""
        return True

    def settle(self, server_id: str) -> None:
        """Do nothing."""

    def longest_hold_s(self) -> float:
        """Return infinity."""
        return float("inf")


ADMIT_ALL = AdmitAll()
