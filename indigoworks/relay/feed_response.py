"""Response of a relay to a request for changed rows."""

from dataclasses import dataclass

from indigoworks.rowstore.row import Row
from indigoworks.rowstore.store_version import StoreVersion


@dataclass(frozen=True, slots=True)
class FeedResponse:
    """Changed rows of one table, and how recently the relay confirmed them with the store.

    :ivar version: version to follow the feed from next.
    :ivar proof_age_s: age of the newest response that the relay has from the store; infinity: none.
    :ivar trouble_age_s: age of the relay's last trouble with the store; infinity: none.
    :ivar is_gone: the relay does not have all changes since the requested version.
    :ivar is_whole: `rows` are all rows of the table, not only the changed ones.
    """

    rows: tuple[Row, ...]
    version: StoreVersion
    proof_age_s: float
    trouble_age_s: float
    is_gone: bool = False
    is_whole: bool = False
