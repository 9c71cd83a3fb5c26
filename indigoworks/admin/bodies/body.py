"""Base class of the JSON bodies."""

from pydantic import BaseModel, ConfigDict


class Body(BaseModel):
    """A JSON object of the administration API; unknown fields are refused."""

    model_config = ConfigDict(extra="forbid", frozen=True)
