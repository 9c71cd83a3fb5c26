"""Base of the typed errors of the product."""

from dataclasses import dataclass
from typing import ClassVar


@dataclass(frozen=True)
class IndigoworksError(Exception):
    """An error whose text names what went wrong and what to do about it.

    Functions of the product return it inside `result.Err`; only programming faults are raised.

    :ivar message: what went wrong, one sentence.
    :ivar remedy: what the reader can do, one sentence.
    :ivar retry_after_s: seconds after which a repeat may succeed; 0 where a repeat is pointless.
    """

    message: str
    remedy: str
    retry_after_s: float = 0.0

    kind: ClassVar[str] = "error"

    def __str__(self) -> str:
        return f"{self.message} {self.remedy}"
