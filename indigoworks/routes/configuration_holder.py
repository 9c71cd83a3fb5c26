"""The configuration in force in this process."""

from collections.abc import Callable

from eliot import log_message

from indigoworks.routes.configuration import Configuration

NEWER_VERSION_VALID_S = 5.0
"""A newer version that nobody told of for so long is not waited for: its holder is gone, or was
out of step. Twice the longest time of today's deployments in which a change must be in force."""


class ConfigurationHolder:
    """Holds the newest configuration; a version never goes back within a process's life."""

    def __init__(self) -> None:
        self._current: Configuration | None = None
        self._newest_version = 0
        self._newest_reported_s = float("-inf")
        self._listeners: list[Callable[[Configuration], None]] = []

    def current(self) -> Configuration | None:
        """Return what is in force; None until a configuration was read."""
        return self._current

    def record_newer_version(self, version: int, reported_at_s: float) -> None:
        """Take note that another process has this version in force.

        A store that came back from a copy may be without it for as long as the operator needs.

        :param at_s: clock reading of the moment at which it said so.
        """
        if version >= self._newest_version:
            self._newest_version = version
            self._newest_reported_s = reported_at_s

    def is_behind(self, now_s: float) -> bool:
        """Tell whether another process that is heard has a newer configuration in force."""
        is_older = self._current is not None and self._current.version < self._newest_version
        return is_older and now_s - self._newest_reported_s <= NEWER_VERSION_VALID_S

    def on_change(self, listener: Callable[[Configuration], None]) -> None:
        """Call `listener` after each change."""
        self._listeners.append(listener)

    def put_in_force(self, configuration: Configuration) -> None:
        """Put a newer configuration in force; an older or equal version changes nothing."""
        if self._current is not None and configuration.version <= self._current.version:
            return
        self._current = configuration
        log_message(
            message_type="configuration:in_force",
            version=configuration.version,
            routes=len(configuration.routes),
            services=len(configuration.services),
        )
        for listener in self._listeners:
            listener(configuration)
