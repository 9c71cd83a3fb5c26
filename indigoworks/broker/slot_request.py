"""A request for a slot at a server of a service in a zone."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """What a gateway asks a broker for; times count from the moment of sending, in seconds.

    :ivar number: unique within one boot of the asker; a repeat has the same.
    :ivar zone: of the servers that are meant.
    :ivar limit_s: time within which the caller's request must be answered.
    :ivar lease_s: time after which the slot is free again in any case.
    :ivar may_wait: wait for a slot; else only a free one is wanted.
    :ivar tried: servers that the caller's request must not go to again.
    :ivar caller_mark: tells the tries of one request from others; 0: unknown.
    :ivar suspect_mark: of a request under which a server ended: its lock is wanted, and no slot; 0:
        a slot is.
    :ivar key: number of the key where only its owner can answer; None: any server can.
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
