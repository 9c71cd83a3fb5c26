"""Errors of the internal protocol."""

from dataclasses import dataclass
from typing import ClassVar

from indigoworks.common.errors import IndigoworksError


@dataclass(frozen=True)
class WireError(IndigoworksError):
    """Base of the errors of a connection between two processes of the system."""

    kind: ClassVar[str] = "wire"


@dataclass(frozen=True)
class ConnectFailed(WireError):
    """No connection could be made: the request was not sent."""

    kind: ClassVar[str] = "connect_failed"


@dataclass(frozen=True)
class ConnectionLost(WireError):
    """The connection ended before the reply: the request may have been handled."""

    kind: ClassVar[str] = "connection_lost"


@dataclass(frozen=True)
class CallTimedOut(WireError):
    """No reply in time: the request may have been handled."""

    kind: ClassVar[str] = "call_timed_out"


@dataclass(frozen=True)
class BadFrame(WireError):
    """The peer sent bytes that are not a frame of this protocol."""

    kind: ClassVar[str] = "bad_frame"


@dataclass(frozen=True)
class RefusedByPeer(WireError):
    """The peer refused in an error reply: the request was not handled."""

    kind: ClassVar[str] = "refused_by_peer"


@dataclass(frozen=True)
class PeerFailed(WireError):
    """The peer failed while it handled the request: the request may have been handled."""

    kind: ClassVar[str] = "peer_failed"
