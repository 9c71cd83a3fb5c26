"""One reason to doubt a line on owners."""

from dataclasses import dataclass

from indigoworks.owners_story.doubt_kind import DoubtKind


@dataclass(frozen=True, slots=True)
class Doubt:
    """A kind of doubt, and the figures that it rests on."""

    kind: DoubtKind
    detail: str
