"""The settings tree."""

from pydantic import Field

from indigoworks.settings.field_types import Name
from indigoworks.settings.overrides import Overrides
from indigoworks.settings.service_settings import ServiceSettings
from indigoworks.settings.settings_model import SettingsModel

DEFAULT_GROUP = "default"
"""Group of the callers that name no group, or one that the tree does not know."""


class SettingsTree(SettingsModel):
    """The whole tree; a value is looked up from the key towards the root.

    :ivar defaults: the root level.
    :ivar groups: the groups of the organisation and what they override everywhere.
    :ivar services: the known services.
    """

    defaults: Overrides = Field(default_factory=Overrides)
    groups: dict[Name, Overrides] = Field(default_factory=dict)
    services: dict[Name, ServiceSettings] = Field(default_factory=dict)
