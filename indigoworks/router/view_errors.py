"""Errors for which a router does not apply a controller's view reply."""

from dataclasses import dataclass
from typing import ClassVar

from indigoworks.common.errors import IndigoworksError


@dataclass(frozen=True)
class ViewError(IndigoworksError):
    """Base class of the errors of following the view."""

    kind: ClassVar[str] = "view"


@dataclass(frozen=True)
class OlderGeneration(ViewError):
    """The reply belongs to an older generation than the router's view."""

    kind: ClassVar[str] = "older_generation"


@dataclass(frozen=True)
class OlderSettings(ViewError):
    """The reply contains older settings than those in force in this router."""

    kind: ClassVar[str] = "older_settings"


@dataclass(frozen=True)
class SnapshotNeeded(ViewError):
    """The delta cannot be applied to the router's view."""

    kind: ClassVar[str] = "snapshot_needed"


@dataclass(frozen=True)
class UnreadableView(ViewError):
    """The view contains data that this version of the router cannot parse."""

    kind: ClassVar[str] = "unreadable_view"
