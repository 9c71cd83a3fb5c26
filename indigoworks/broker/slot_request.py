"""Request for a server slot, sent to a broker."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """Request of a gateway for a slot or a lock; durations in seconds, from the time of sending.

    :ivar number: unique within one boot of the requester; duplicates have the same number.
    :ivar zone: zone of the servers.
    :ivar limit_s: time within which the caller's request must be answered, or the lock granted;
        a duration, while WaitingRequest.limit_s is a clock reading.
    :ivar lease_s: time after which the slot is freed without a release.
    :ivar may_wait: queue the request if no slot is free.
    :ivar tried: ids of servers that the caller's request must not be sent to.
    :ivar caller_mark: hash that identifies retries of the same request; 0: unknown.
    :ivar suspect_mark: mark of a suspect request, whose lock is requested instead of a slot; 0: a
        slot is requested.
    :ivar connected: checksums of the ids of servers to which the requester has an idle connection,
        the preferred one first.
    :ivar is_repeatable: the request may run twice, and so probe an ejected server; set only if the
        broker asked for it.
    :ivar key: number of the key if only its owner can answer; None: any server can.
    """

    number: int
    service: str
    zone: str
    group: str
    weight: float
    priority: int
    limit_s: float
    lease_s: float
    may_wait: bool
    tried: tuple[str, ...] = ()
    key: int | None = None
    caller_mark: int = 0
    suspect_mark: int = 0
    connected: tuple[int, ...] = ()
    is_repeatable: bool = False
