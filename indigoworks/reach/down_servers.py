"""Servers that are out of reach from here."""

from collections.abc import Callable


class DownServers:
    """Those that failed one by one, and all of them while the path is lost.

    :param is_path_lost: returns whether no server is reached.
    """

    def __init__(self, is_path_lost: Callable[[], bool] = lambda: False) -> None:
        self._is_path_lost = is_path_lost
        self._failed: set[str] = set()

    def set_down(self, server_id: str, is_down: bool) -> None:
        """Mark a server as out of reach, or as reached again."""
        if is_down:
            self._failed.add(server_id)
        else:
            self._failed.discard(server_id)

    def forget_all(self) -> None:
        """Drop all marks: the path is back, and its loss was the cause of most."""
        self._failed.clear()

    def has_any(self) -> bool:
        """Return whether any server is out of reach."""
        return bool(self._failed) or self._is_path_lost()

    def is_down(self, server_id: str) -> bool:
        """Return whether a server is out of reach."""
        return server_id in self._failed or self._is_path_lost()

    def failed(self) -> frozenset[str]:
        """Return the servers that failed one by one."""
        return frozenset(self._failed)
