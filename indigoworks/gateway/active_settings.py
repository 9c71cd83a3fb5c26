"""The settings of a running process, and their reload."""

from collections.abc import Callable
from dataclasses import fields, replace

from eliot import log_message
from result import Err, Result

from indigoworks.gateway.gateway_settings import GatewaySettings, SettingsUnreadable

RELOADABLE_FIELDS = frozenset(
    {
        "server_heartbeat_s",
        "drain_s",
        "stop_grace_s",
        "hold_max_s",
        "retry_ratio",
        "retry_window_s",
        "retry_slack",
    }
)
"""Fields that a reload applies to a running process; the others need a restart."""

LoadSettings = Callable[[], Result[GatewaySettings, SettingsUnreadable]]
Listener = Callable[[GatewaySettings], None]


class ActiveSettings:
    """Holds the settings as one immutable object, which a reload replaces as a whole.

    Fields that need a restart keep the values with which the process started.

    :param load: reads and validates the settings file.
    """

    def __init__(self, settings: GatewaySettings, load: LoadSettings) -> None:
        self._current = settings
        self._load = load
        self._listeners: list[Listener] = []

    @property
    def current(self) -> GatewaySettings:
        """Return the current settings."""
        return self._current

    def on_change(self, listener: Listener) -> None:
        """Call `listener` with the new settings after each change."""
        self._listeners.append(listener)

    def reload(self) -> None:
        """Reload the settings; invalid ones leave the previous settings in force."""
        result = self._load()
        if isinstance(result, Err):
            error = result.unwrap_err()
            log_message(
                message_type="process:reload",
                level="ERROR",
                outcome="refused",
                error=error.kind,
                reason=error.message,
                remedy=error.remedy,
            )
            return
        read = result.unwrap()
        differing = [
            each.name
            for each in fields(GatewaySettings)
            if getattr(read, each.name) != getattr(self._current, each.name)
        ]
        changed = [each for each in differing if each in RELOADABLE_FIELDS]
        if changed:
            self._put_in_force({each: getattr(read, each) for each in changed})
        log_message(
            message_type="process:reload",
            outcome="changed" if changed else "unchanged",
            changed={each: getattr(read, each) for each in changed},
            needs_restart=[each for each in differing if each not in RELOADABLE_FIELDS],
        )

    def _put_in_force(self, values: dict[str, float]) -> None:
        self._current = replace(self._current, **values)  # type: ignore[arg-type]
        for listener in self._listeners:
            listener(self._current)
