"""One server as the platform lists it."""

from dataclasses import dataclass

from indigoworks.common.address import Address


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """One life of a server process.

    :ivar server_id: names this life; a restarted server has another id, or the same one.
    :ivar slots: requests that it works on at the same time.
    :ivar is_draining: it announced that it will leave.
    :ivar warm_up_left_s: seconds for which it stays slow, as of `version`.
    :ivar version: version of its row in the store.
    :ivar started_ms: Unix milliseconds of its start, which tells lives of one id apart; 0: unknown.
    """

    server_id: str
    service: str
    address: Address
    zone: str
    slots: int
    is_draining: bool
    warm_up_left_s: float
    version: int
    started_ms: int = 0
