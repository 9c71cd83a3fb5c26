"""What a relay answers to a question for changed rows."""

from dataclasses import dataclass

from indigoworks.rowstore.row import Row
from indigoworks.rowstore.store_version import StoreVersion


@dataclass(frozen=True, slots=True)
class FeedResponse:
    """Changed rows of one table, and how sure the relay is of them.

    :ivar version: to go on from.
    :ivar proof_age_s: age of the newest answer that the relay has from the store; infinity: none.
    :ivar trouble_age_s: age of the relay's last trouble with the store; infinity: none.
    :ivar is_gone: the relay does not know all that changed since the version asked for.
    :ivar is_whole: `rows` are all rows of the table, not the changed ones alone.
    """

    rows: tuple[Row, ...]
    version: StoreVersion
    proof_age_s: float
    trouble_age_s: float
    is_gone: bool = False
    is_whole: bool = False
