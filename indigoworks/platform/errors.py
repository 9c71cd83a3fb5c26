"""Errors of the platform."""

from dataclasses import dataclass
from typing import ClassVar

from indigoworks.common.errors import IndigoworksError


@dataclass(frozen=True)
class PlatformError(IndigoworksError):
    """Base of the errors of the platform."""

    kind: ClassVar[str] = "platform"


@dataclass(frozen=True)
class PlatformUnavailable(PlatformError):
    """The platform could not be reached or refused: nothing took effect."""

    kind: ClassVar[str] = "platform_unavailable"


@dataclass(frozen=True)
class PlatformRateLimited(PlatformError):
    """The platform asks for fewer requests: nothing took effect."""

    kind: ClassVar[str] = "platform_rate_limited"


@dataclass(frozen=True)
class PlatformOutcomeUnknown(PlatformError):
    """The response was lost: a write may have taken effect. Read back before writing again."""

    kind: ClassVar[str] = "platform_outcome_unknown"


@dataclass(frozen=True)
class VersionConflict(PlatformError):
    """A row no longer has the expected version: nothing took effect."""

    kind: ClassVar[str] = "version_conflict"
