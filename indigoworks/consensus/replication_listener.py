"""Whom the task of a peer works for."""

from typing import Protocol


class ReplicationListener(Protocol):
    """The leadership that a peer task works for."""

    def holds_quorum_lease(self) -> bool:
        """Tell whether the leader holds its quorum lease."""
        ...

    def on_progress(self) -> None:
        """Note that a peer has confirmed a request."""
        ...
