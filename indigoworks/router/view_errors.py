"""Reasons for which a router does not apply the answer of a controller."""

from dataclasses import dataclass
from typing import ClassVar

from indigoworks.common.errors import IndigoworksError


@dataclass(frozen=True)
class ViewError(IndigoworksError):
    """Base of the errors of following the view."""

    kind: ClassVar[str] = "view"


@dataclass(frozen=True)
class OlderGeneration(ViewError):
    """The controller answers for a generation that another one has replaced."""

    kind: ClassVar[str] = "older_generation"


@dataclass(frozen=True)
class OlderSettings(ViewError):
    """The controller offers an older version of the settings tree than is in force here."""

    kind: ClassVar[str] = "older_settings"


@dataclass(frozen=True)
class SnapshotNeeded(ViewError):
    """The delta does not fit the view at hand."""

    kind: ClassVar[str] = "snapshot_needed"


@dataclass(frozen=True)
class UnreadableView(ViewError):
    """The view contains what this version of the router cannot use."""

    kind: ClassVar[str] = "unreadable_view"
