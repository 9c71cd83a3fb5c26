"""Errors of the load tool."""

from dataclasses import dataclass
from typing import ClassVar

from indigoworks.common.errors import IndigoworksError


@dataclass(frozen=True)
class LoadError(IndigoworksError):
    """The load could not be run."""

    kind: ClassVar[str] = "load"
