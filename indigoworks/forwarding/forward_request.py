"""A request that a gateway forwards to another one."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """A caller's request with what its gateway knows of it.

    :ivar headers: end-to-end headers as the caller sent them.
    :ivar wait_s: seconds that the caller waits from its arrival on; None if not stated.
    :ivar age_s: seconds since the forwarding gateway had read it.
    :ivar caller: IP address of the caller.
    :ivar service: service that the forwarding gateway chose.
    :ivar configuration_version: oldest configuration by which the request may be answered.
    :ivar tried: servers that it may have been sent to.
    :ivar is_for_dispatcher: the receiver was selected as the dispatcher of the owner of its key.
    """

    request_id: str
    method: str
    host: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    wait_s: float | None
    key: int | None
    age_s: float
    caller: str
    service: str
    configuration_version: int
    tried: tuple[str, ...] = ()
    is_for_dispatcher: bool = False
