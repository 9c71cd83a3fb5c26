"""An answer with a JSON body."""

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True)
class JsonAnswer:
    """Status and parsed body; status 0 where no whole answer came."""

    status: int
    body: Any
