"""Base class of the product's typed errors."""

from dataclasses import dataclass
from typing import ClassVar


@dataclass(frozen=True)
class IndigoworksError(Exception):
    """An error whose text names what went wrong and what to do about it.

    Functions of the product return it inside `result.Err`; only programming errors are raised.

    :ivar message: what went wrong, one sentence.
    :ivar remedy: what the reader can do, one sentence.
    :ivar retry_after_s: seconds after which a retry may succeed; 0 where a retry is pointless.
    """

    message: str
    remedy: str
    retry_after_s: float = 0.0

    kind: ClassVar[str] = "error"

    def __str__(self) -> str:
        return f"{self.message} {self.remedy}"
