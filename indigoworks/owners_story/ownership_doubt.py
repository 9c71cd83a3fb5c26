"""One reason to doubt a line on owners."""

from dataclasses import dataclass

from indigoworks.owners_story.ownership_doubt_kind import OwnershipDoubtKind


@dataclass(frozen=True, slots=True)
class OwnershipDoubt:
    """A kind of doubt, and the figures that it rests on."""

    kind: OwnershipDoubtKind
    detail: str
