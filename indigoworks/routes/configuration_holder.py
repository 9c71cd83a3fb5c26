"""Holds the configuration that is in force in this process."""

from collections.abc import Callable

from eliot import log_message

from indigoworks.routes.configuration import Configuration

NEWER_VERSION_VALID_S = 5.0
"""Time for which a peer's report of a newer version counts. If no further report names the version,
the process that reported it has ended or was out of sync, and the version is no longer awaited.
Twice the longest time within which deployments require a change to be in force."""


class ConfigurationHolder:
    """Holds the newest configuration; its version never decreases while the process runs."""

    def __init__(self) -> None:
        self._current: Configuration | None = None
        self._newest_version = 0
        self._newest_reported_s = float("-inf")
        self._listeners: list[Callable[[Configuration], None]] = []

    def current(self) -> Configuration | None:
        """Return the configuration in force; None until the first was read."""
        return self._current

    def record_newer_version(self, version: int, reported_at_s: float) -> None:
        """Record that another process has this version in force.

        Versions older than the newest recorded are ignored. While one newer than that in force is
        known, `is_behind` holds, and requests that find no route here are asked to retry later. A
        store that was restored from a backup may lack the version until the operator writes it
        again; `is_behind` ends NEWER_VERSION_VALID_S after the last report.

        :param reported_at_s: clock reading when that process reported it.
        """
        if version >= self._newest_version:
            self._newest_version = version
            self._newest_reported_s = reported_at_s

    def is_behind(self, now_s: float) -> bool:
        """Tell whether another process recently reported a newer configuration in force."""
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
