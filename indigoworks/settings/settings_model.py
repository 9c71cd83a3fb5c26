"""Base class of the models of the settings tree."""

from pydantic import BaseModel, ConfigDict


class SettingsModel(BaseModel):
    """A part of the settings tree: unknown fields are refused and types are not converted."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)
