"""Record of a suspect request as it is kept in the store."""

from dataclasses import dataclass

from indigoworks.exchange.suspect_record import SuspectRecord


@dataclass(frozen=True, slots=True)
class StoredSuspect:
    """A record, and when it was written.

    :ivar record: its ages are as of the time of writing.
    :ivar store_ms: reading of the store's monotonic clock then, in milliseconds; 0: unknown.
    """

    record: SuspectRecord
    store_ms: int
