"""A back end as a router's view knows it."""

from dataclasses import dataclass

from indigoworks.common.address import Address
from indigoworks.wire import control_pb2


@dataclass(frozen=True)
class ServerRecord:
    """One run of one back end.

    :ivar slots: requests that it runs at the same time.
    :ivar connections: connections that it accepts.
    :ivar is_lost: its lease lapsed; it serves nothing.
    """

    name: str
    incarnation: str
    service: str
    zone: str
    address: Address
    slots: int
    connections: int
    is_lost: bool = False


def server_record(server: control_pb2.Server) -> ServerRecord:
    """Return the record of a server message."""
    return ServerRecord(
        name=server.name,
        incarnation=server.incarnation,
        service=server.service,
        zone=server.zone,
        address=Address(server.host, server.port),
        slots=max(1, server.slots),
        connections=server.connections,
        is_lost=server.state == control_pb2.SERVER_STATE_LOST,
    )
