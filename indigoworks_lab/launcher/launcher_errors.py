"""Errors of the launcher."""

from dataclasses import dataclass
from typing import ClassVar

from indigoworks.common.errors import IndigoworksError


@dataclass(frozen=True)
class ProcessNotReady(IndigoworksError):
    """A started process ended or did not answer in time."""

    kind: ClassVar[str] = "process_not_ready"


@dataclass(frozen=True)
class ProcessDidNotStop(IndigoworksError):
    """A process was still running at the end of the time given to it."""

    kind: ClassVar[str] = "process_did_not_stop"
