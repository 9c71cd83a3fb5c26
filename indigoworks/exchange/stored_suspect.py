"""What the store keeps of a request under which servers ended."""

from dataclasses import dataclass

from indigoworks.exchange.suspect_record import SuspectRecord


@dataclass(frozen=True, slots=True)
class StoredSuspect:
    """A note, and when it was written.

    :ivar note: its ages are those of the moment of writing.
    :ivar store_ms: reading of the store's steady clock then, in milliseconds; 0: not known.
    """

    record: SuspectRecord
    store_ms: int
