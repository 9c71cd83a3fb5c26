"""Versioned list of live routers."""

from dataclasses import dataclass

from indigoworks.wire.control_pb2 import Member


@dataclass(frozen=True)
class LiveRouters:
    """Routers that polled recently.

    :ivar routers: sorted by name.
    :ivar version: hash of the list, the same on every controller.
    """

    routers: tuple[Member, ...]
    version: int
