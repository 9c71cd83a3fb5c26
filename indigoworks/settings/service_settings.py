"""Settings of one service."""

from pydantic import Field

from indigoworks.settings.field_types import KeyText, Name
from indigoworks.settings.key_settings import KeySettings
from indigoworks.settings.overrides import Overrides


class ServiceSettings(Overrides):
    """A service, its groups and its keys.

    :ivar groups: what a group overrides for this service only.
    :ivar keys: what a key overrides, by the key's text.
    """

    groups: dict[Name, Overrides] = Field(default_factory=dict)
    keys: dict[KeyText, KeySettings] = Field(default_factory=dict)
