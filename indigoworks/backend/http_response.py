"""Complete HTTP response."""

import math
from dataclasses import dataclass, field

from indigoworks.common.byte_share import ByteShare


@dataclass(frozen=True)
class HttpResponse:
    """Status, headers as received and complete body.

    :ivar headers_s: clock reading when status and headers had arrived; NaN: not recorded.
    :ivar share: the body's share of the budget of buffered bytes, kept as long as the body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    headers_s: float = field(default=math.nan, compare=False)
    share: ByteShare | None = field(default=None, compare=False)

    def header(self, name: str) -> str | None:
        """Return the first value of header `name`, compared without case, or None."""
        for each, value in self.headers:
            if each.lower() == name.lower():
                return value
        return None
