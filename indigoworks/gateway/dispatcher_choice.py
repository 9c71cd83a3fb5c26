"""The dispatcher of one request."""

from dataclasses import dataclass

from indigoworks.exchange.peer_address import PeerAddress


@dataclass(frozen=True, slots=True)
class DispatcherChoice:
    """A peer, and the server whose dispatcher it is."""

    peer: PeerAddress
    server_id: str
