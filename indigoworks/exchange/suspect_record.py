"""Record of a suspect request that gateways share: servers crashed while they ran it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SuspectRecord:
    """One request, identified by digests of its content; see `indigoworks.quarantine.suspect`.

    :ivar crashed_age_s: seconds since the latest of `crashes`; infinity: there is none.
    :ivar is_shared: the record counts the attempts of all callers, not of a single one.
    :ivar seen_age_s: seconds since the request was seen last.
    """

    head: int
    body: int
    generation: int
    crashes: tuple[int, ...]
    crashed_age_s: float
    seen_age_s: float
    is_shared: bool = False
