"""JSON form of a typed error."""

from pydantic import BaseModel

from indigoworks.common.errors import IndigoworksError


class ErrorModel(BaseModel):
    """Kind, message and remedy of an error."""

    kind: str
    message: str
    remedy: str
    retry_after_s: float

    @classmethod
    def from_error(cls, error: IndigoworksError) -> "ErrorModel":
        """Return the JSON form of `error`."""
        return cls(
            kind=error.kind,
            message=error.message,
            remedy=error.remedy,
            retry_after_s=error.retry_after_s,
        )
