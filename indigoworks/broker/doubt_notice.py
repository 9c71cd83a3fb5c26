"""Doubts (unconfirmed server crashes) that a gateway announces to others."""

from dataclasses import dataclass

from indigoworks.quarantine.doubt import Doubt


@dataclass(frozen=True, slots=True)
class DoubtNotice:
    """Doubts, and the gateways to which the receiver forwards them.

    :ivar shares: number of shares into which the sender divided all gateways; 0: not forwarded.
    :ivar share: share of the receiver, which forwards the notice to the others in it.
    :ivar salt: random, so that every notice divides the gateways differently.
    """

    doubts: tuple[Doubt, ...]
    shares: int = 0
    share: int = 0
    salt: int = 0
