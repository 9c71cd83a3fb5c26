"""The settings tree."""

from pydantic import Field

from indigoworks.settings.field_types import Name
from indigoworks.settings.overrides import Overrides
from indigoworks.settings.service_settings import ServiceSettings
from indigoworks.settings.settings_model import SettingsModel

DEFAULT_GROUP = "default"
"""Group of callers that name no group, or one that the tree does not define."""


class SettingsTree(SettingsModel):
    """The whole tree; the level nearest to the key that sets a value determines it.

    :ivar defaults: the root level.
    :ivar groups: groups of callers, and their overrides for all services.
    :ivar services: the known services.
    """

    defaults: Overrides = Field(default_factory=Overrides)
    groups: dict[Name, Overrides] = Field(default_factory=dict)
    services: dict[Name, ServiceSettings] = Field(default_factory=dict)
