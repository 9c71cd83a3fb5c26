"""Another router, as listed in a router's view."""

from dataclasses import dataclass

from indigoworks.common.address import Address
from indigoworks.wire import control_pb2


@dataclass(frozen=True, order=True)
class RouterPeer:
    """A router process; `address` is that of its internal protocol."""

    name: str
    incarnation: str
    zone: str
    address: Address


def router_peer(member: control_pb2.Member) -> RouterPeer:
    """Return the peer that a member message describes."""
    return RouterPeer(
        name=member.name,
        incarnation=member.incarnation,
        zone=member.zone,
        address=Address(member.host, member.control_port),
    )
