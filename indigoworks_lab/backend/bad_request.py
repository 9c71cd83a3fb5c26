"""A request that does not follow the back-end contract."""

from dataclasses import dataclass
from typing import ClassVar

from indigoworks.common.errors import IndigoworksError


@dataclass(frozen=True)
class BadRequest(IndigoworksError):
    """A header or body is missing or malformed; nothing was run."""

    kind: ClassVar[str] = "bad_request"
