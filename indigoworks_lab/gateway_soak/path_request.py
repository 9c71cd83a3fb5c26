"""One request of a caller while gateways lose their path to servers."""

from dataclasses import dataclass

from indigoworks_lab.gateway_soak.path_request_kind import PathRequestKind


@dataclass(frozen=True, slots=True)
class PathRequest:
    """A request that was sent whole, as its caller saw it; times are of the event loop, in seconds.

    :ivar status: of the answer; 0: none came in time, or the connection ended.
    :ivar left_s: when the caller closed the connection without an answer; None: it did not.
    """

    request_id: str
    gateway: str
    kind: PathRequestKind
    sent_s: float
    ended_s: float
    status: int
    left_s: float | None = None

    @property
    def is_served(self) -> bool:
        """Return whether the caller got the server's answer."""
        return self.status == 200
