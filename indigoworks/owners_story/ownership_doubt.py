"""A reason to doubt an ownership transfer that a log line records."""

from dataclasses import dataclass

from indigoworks.owners_story.ownership_doubt_kind import OwnershipDoubtKind


@dataclass(frozen=True, slots=True)
class OwnershipDoubt:
    """A kind of doubt, and the values in the line that cause it."""

    kind: OwnershipDoubtKind
    detail: str
