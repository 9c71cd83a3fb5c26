"""A trouble of the row store."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StoreTrouble:
    """A call that was not answered, refused, or answered late.

    :ivar at_s: clock reading at which it was noticed; of a late answer, at which it began to come.
    :ivar told_s: clock reading at which another gateway told of it; None: a call of this process.
    """

    at_s: float
    reported_s: float | None = None
