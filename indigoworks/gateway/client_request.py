"""A request as a caller sent it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """One try of a caller, read whole.

    :ivar target: path and query, as sent.
    :ivar headers: those that travel on; what concerns one connection only is left out.
    :ivar wait_s: seconds that the caller will wait; None where it does not say.
    :ivar key: number of the key; None where the request has none.
    :ivar arrived_s: clock reading at which it was read.
    :ivar caller: address of the machine that sent it, without the port.
    """

    request_id: str
    method: str
    host: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    wait_s: float | None
    key: int | None
    arrived_s: float
    caller: str = ""

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition("?")[0]
