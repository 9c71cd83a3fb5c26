"""A back end, as listed in a router's view."""

from dataclasses import dataclass

from indigoworks.common.address import Address
from indigoworks.wire import control_pb2


@dataclass(frozen=True)
class ServerRecord:
    """A back-end process.

    :ivar slots: number of requests that it runs concurrently.
    :ivar connections: number of connections that it accepts.
    :ivar is_lost: its lease has expired, so it serves no requests.
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
    """Return the record that a server message describes."""
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
