"""The configuration in force in this process."""

from collections.abc import Callable

from eliot import log_message

from indigoworks.routes.configuration import Configuration


class ConfigurationHolder:
    """Holds the newest configuration; a version never goes back within a process's life."""

    def __init__(self) -> None:
        self._current: Configuration | None = None
        self._listeners: list[Callable[[Configuration], None]] = []

    def current(self) -> Configuration | None:
        """Return what is in force; None until a configuration was read."""
        return self._current

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
