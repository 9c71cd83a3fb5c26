"""Process settings and the settings tree."""

from indigoworks.settings.controller_settings import ControllerSettings
from indigoworks.settings.errors import InvalidSettings, SettingsError, SettingsFileUnreadable
from indigoworks.settings.load_process_settings import load_process_settings
from indigoworks.settings.parse_tree import canonical_json, parse_tree
from indigoworks.settings.placement_settings import PlacementSettings
from indigoworks.settings.process_settings import ProcessSettings
from indigoworks.settings.resolved_settings import ResolvedSettings
from indigoworks.settings.router_settings import RouterSettings
from indigoworks.settings.service_settings import ServiceSettings
from indigoworks.settings.setting_origin import SettingOrigin
from indigoworks.settings.settings_problem import SettingsProblem
from indigoworks.settings.settings_resolver import SettingsResolver
from indigoworks.settings.settings_tree import DEFAULT_GROUP, SettingsTree

__all__ = [
    "DEFAULT_GROUP",
    "ControllerSettings",
    "InvalidSettings",
    "PlacementSettings",
    "ProcessSettings",
    "ResolvedSettings",
    "RouterSettings",
    "ServiceSettings",
    "SettingOrigin",
    "SettingsError",
    "SettingsFileUnreadable",
    "SettingsProblem",
    "SettingsResolver",
    "SettingsTree",
    "canonical_json",
    "load_process_settings",
    "parse_tree",
]
