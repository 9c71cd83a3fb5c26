"""Doubts that one gateway tells others."""

from dataclasses import dataclass

from indigoworks.quarantine.doubt import Doubt


@dataclass(frozen=True, slots=True)
class DoubtNotice:
    """Doubts, and to whom the receiver hands them on.

    :ivar shares: into so many shares the sender divided all gateways; 0: nobody hands it on.
    :ivar share: that of the receiver, who tells all others in it.
    :ivar salt: makes the division another one each time.
    """

    doubts: tuple[Doubt, ...]
    shares: int = 0
    share: int = 0
    salt: int = 0
