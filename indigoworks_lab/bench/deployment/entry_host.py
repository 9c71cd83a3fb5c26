"""A router on its simulated host."""

from dataclasses import dataclass

from indigoworks_lab.bench.deployment.request_entry import RequestEntry


@dataclass(frozen=True)
class EntryHost:
    """Where callers can send requests."""

    host: str
    entry: RequestEntry
