"""Entries of servers and the configuration in the simulated store."""

import json

from result import Ok, Result

from indigoworks.common.address import Address
from indigoworks.routes.caller_limits import CallerLimits
from indigoworks.routes.configuration import Configuration
from indigoworks.routes.errors import ConfigurationInvalid
from indigoworks.routes.service import Service
from indigoworks.rowstore.row import Row
from indigoworks.servers.errors import ServerEntryUnreadable
from indigoworks.servers.server_record import ServerRecord
from indigoworks_lab.control_simulation.simulated_server import SimulatedServer

SERVICE = "keyed"
SERVERS_TABLE = "servers"
CONFIGURATION_TABLE = "operators"
CONFIGURATION_KEY = "configuration"
EVACUATION_PREFIX = "evacuation/"


def encode_server(server: SimulatedServer, sequence: int) -> bytes:
    """Return the entry of a server."""
    return json.dumps(
        {
            "host": server.address.host,
            "port": server.address.port,
            "slots": server.slots,
            "is_draining": server.is_draining,
            "sequence": sequence,
        }
    ).encode()


def read_server(row: Row) -> Result[ServerRecord, ServerEntryUnreadable]:
    """Read an entry."""
    entry = json.loads(row.value)
    record = ServerRecord(
        server_id=row.key,
        service=SERVICE,
        address=Address(entry["host"], entry["port"]),
        zone="z1",
        slots=entry["slots"],
        is_draining=entry["is_draining"],
        warm_up_left_s=0.0,
        version=row.version,
        sequence=entry["sequence"],
    )
    return Ok(record)


def read_evacuated_zone(key: str) -> str | None:
    """Return the zone that a row of the operators evacuates; None: another row."""
    return key.removeprefix(EVACUATION_PREFIX) if key.startswith(EVACUATION_PREFIX) else None


def read_configuration(value: bytes) -> Result[Configuration, ConfigurationInvalid]:
    """Return a configuration with one service that has keys."""
    service = Service(SERVICE, True, 1000, 0.0, "")
    return Ok(Configuration(int(value), (), {SERVICE: service}, CallerLimits()))
