"""One write in the body of POST /tables/transact."""

from pydantic import Base64Bytes, BaseModel, ConfigDict, Field


class WriteRequest(BaseModel):
    """A conditional write; the value comes base64-encoded."""

    model_config = ConfigDict(extra="forbid")

    key: str = Field(min_length=1)
    value: Base64Bytes
    expected_version: int = Field(ge=0)
