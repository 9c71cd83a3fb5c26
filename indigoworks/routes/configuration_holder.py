"""The configuration in force in this process."""

from collections.abc import Callable

from eliot import log_message

from indigoworks.routes.configuration import Configuration


class ConfigurationHolder:
    """Holds the newest configuration; a version never goes back within a process's life."""

    def __init__(self) -> None:
        self._current: Configuration | None = None
        self._newest_version = 0
        self._listeners: list[Callable[[Configuration], None]] = []

    def current(self) -> Configuration | None:
        """Return what is in force; None until a configuration was read."""
        return self._current

    def note_newer(self, version: int) -> None:
        """Take note that another process has this version in force."""
        self._newest_version = max(self._newest_version, version)

    def is_behind(self) -> bool:
        """Tell whether another process is known to have a newer configuration in force."""
        return self._current is not None and self._current.version < self._newest_version

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
