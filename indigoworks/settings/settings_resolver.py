"""Resolves the settings in force for a service, group and key."""

from functools import lru_cache

from indigoworks.settings.built_in_settings import BUILT_IN_LEVEL, BUILT_IN_SETTINGS
from indigoworks.settings.level_values import level_values
from indigoworks.settings.resolved_settings import ResolvedSettings
from indigoworks.settings.resolved_values import resolved_settings
from indigoworks.settings.service_settings import ServiceSettings
from indigoworks.settings.setting_origin import SettingOrigin
from indigoworks.settings.settings_level import SettingsLevel
from indigoworks.settings.settings_tree import DEFAULT_GROUP, SettingsTree

CACHED_RESULTS = 4096
"""Cached results: one for each combination of service, group and configured key in use."""


class SettingsResolver:
    """Resolves values of one tree. The most specific level that sets a field wins.

    Levels, the most general first: built-in, `defaults`, `groups.G`, `services.S`,
    `services.S.groups.G`, `services.S.keys.K`. Fields of `placement` are inherited one by one;
    lists are replaced whole.
    """

    def __init__(self, tree: SettingsTree) -> None:
        self._tree = tree
        self._resolve = lru_cache(maxsize=CACHED_RESULTS)(self._resolve_levels)

    def resolve(
        self, service: str, group: str | None = None, key: bytes | None = None
    ) -> ResolvedSettings | None:
        """Return the settings in force, or None for an unknown service.

        :param group: None or an unknown group is treated as DEFAULT_GROUP.
        :param key: None: the settings without those of any key.
        """
        found = self._tree.services.get(service)
        if found is None:
            return None
        return self._resolve(service, self._known_group(group), _configured_key(found, key))

    def explain(
        self, service: str, group: str | None = None, key: bytes | None = None
    ) -> tuple[SettingOrigin, ...] | None:
        """Return each value with the level that set it, or None for an unknown service."""
        found = self._tree.services.get(service)
        if found is None:
            return None
        return self._origins(service, self._known_group(group), _configured_key(found, key))

    def _known_group(self, group: str | None) -> str:
        return group if group is not None and group in self._tree.groups else DEFAULT_GROUP

    def _resolve_levels(self, service: str, group: str, key: str | None) -> ResolvedSettings:
        origins = self._origins(service, group, key)
        return resolved_settings({each.name: each.value for each in origins})

    def _origins(self, service: str, group: str, key: str | None) -> tuple[SettingOrigin, ...]:
        nearest: dict[str, SettingOrigin] = {}
        for level in self._levels(service, group, key):
            for name, value in level_values(level.overrides):
                nearest[name] = SettingOrigin(name, value, level.path)
        return tuple(nearest.values())

    def _levels(self, service: str, group: str, key: str | None) -> list[SettingsLevel]:
        tree = self._tree
        found = tree.services[service]
        levels = [
            SettingsLevel(BUILT_IN_LEVEL, BUILT_IN_SETTINGS),
            SettingsLevel("defaults", tree.defaults),
        ]
        if group in tree.groups:
            levels.append(SettingsLevel(f"groups.{group}", tree.groups[group]))
        levels.append(SettingsLevel(f"services.{service}", found))
        if group in found.groups:
            path = f"services.{service}.groups.{group}"
            levels.append(SettingsLevel(path, found.groups[group]))
        if key is not None:
            levels.append(SettingsLevel(f"services.{service}.keys.{key}", found.keys[key]))
        return levels


def _configured_key(service: ServiceSettings, key: bytes | None) -> str | None:
    if key is None or not service.keys:
        return None
    try:
        text = key.decode("utf-8")
    except UnicodeDecodeError:
        return None
    return text if text in service.keys else None
