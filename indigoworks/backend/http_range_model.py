"""JSON form of a granted range."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, StringConstraints

from indigoworks.backend.granted_range import GrantedRange

HEXADECIMAL = 16

KeyPositionText = Annotated[str, StringConstraints(pattern=r"^0x[0-9a-f]{16}$")]
"""Position in the 64-bit key space as text: JSON numbers lose precision above 2**53."""


class HttpRangeModel(BaseModel):
    """A granted range; its ends are text of the form 0x0123456789abcdef."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    start: KeyPositionText
    end: KeyPositionText
    token: int
    is_releasing: bool = False

    @classmethod
    def from_range(cls, granted: GrantedRange) -> "HttpRangeModel":
        """Return the JSON form of `granted`."""
        return cls(
            start=f"{granted.start:#018x}",
            end=f"{granted.end:#018x}",
            token=granted.token,
            is_releasing=granted.is_releasing,
        )

    def to_range(self) -> GrantedRange:
        """Return the range of this JSON form."""
        return GrantedRange(
            start=int(self.start, HEXADECIMAL),
            end=int(self.end, HEXADECIMAL),
            token=self.token,
            is_releasing=self.is_releasing,
        )
