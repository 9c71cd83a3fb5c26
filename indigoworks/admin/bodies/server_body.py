"""Body of a back end."""

from indigoworks.admin.bodies.body import Body
from indigoworks.wire.control_pb2 import Server, ServerState


class ServerBody(Body):
    """A back end.

    :ivar state: `live`, `leaving`, `lost` or `unspecified`.
    :ivar ranges: number of ranges that it owns.
    """

    name: str
    incarnation: str
    service: str
    zone: str
    host: str
    port: int
    slots: int
    connections: int
    state: str
    ranges: int

    @classmethod
    def of(cls, server: Server, ranges: int) -> "ServerBody":
        """Return the body of `server`."""
        return cls(
            name=server.name,
            incarnation=server.incarnation,
            service=server.service,
            zone=server.zone,
            host=server.host,
            port=server.port,
            slots=server.slots,
            connections=server.connections,
            state=ServerState.Name(server.state).removeprefix("SERVER_STATE_").lower(),
            ranges=ranges,
        )
