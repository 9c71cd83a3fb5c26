"""A request as the caller sent it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """One attempt of a caller, with its complete body.

    :ivar target: path and query, as sent.
    :ivar headers: end-to-end headers; hop-by-hop headers are left out.
    :ivar wait_s: seconds that the caller will wait for the response; None if not stated.
    :ivar key: key as a number; None if the request has none.
    :ivar arrived_s: clock reading when the request had been read.
    :ivar caller: IP address of the sender.
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
