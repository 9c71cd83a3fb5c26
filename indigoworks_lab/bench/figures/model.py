"""Base of the figures."""

from pydantic import BaseModel, ConfigDict


class Model(BaseModel):
    """Immutable, without unknown fields."""

    model_config = ConfigDict(extra="forbid", frozen=True)
