"""Records with names and numbers of realistic length, for sizes and costs."""

from indigoworks.common.ring.key_hash import KEY_SPACE_MAX
from indigoworks.wire.control_pb2 import (
    SERVER_STATE_LIVE,
    ControlState,
    Member,
    RangeRecord,
    Server,
)

GENERATION = 3
TOKEN = (GENERATION << 40) + 1_234_567
LOG_INDEX = 1_234_567
CLOCK_S = 123456.789012
SERVICE = "visit-ledger"
ZONE = "central-a"
SERVERS_PER_SERVICE = 15
SETTINGS_BYTES = 4096
"""Size of the settings tree in samples of whole views."""


def sample_member(number: int) -> Member:
    """Return a member of the system."""
    name = f"router-{ZONE}-{number:05}"
    return Member(
        name=name,
        incarnation=_incarnation(name, number),
        zone=ZONE,
        host="10.121.131.141",
        control_port=17001,
        http_port=18001,
    )


def sample_server(number: int) -> Server:
    """Return a back end."""
    name = f"{SERVICE}-{number:05}"
    return Server(
        name=name,
        incarnation=_incarnation(name, number),
        service=SERVICE,
        zone=ZONE,
        host="10.121.131.142",
        port=19001,
        slots=4,
        connections=130,
        state=SERVER_STATE_LIVE,
    )


def sample_range(number: int, count: int) -> RangeRecord:
    """Return range `number` of `count` equal ones, with an owner."""
    size = KEY_SPACE_MAX + 1
    server = sample_server(number % SERVERS_PER_SERVICE)
    return RangeRecord(
        service=SERVICE,
        start=size * number // count,
        end=size * (number + 1) // count - 1,
        owner=server.name,
        owner_incarnation=server.incarnation,
        token=TOKEN + number,
        generation=GENERATION,
    )


def sample_state(range_count: int, server_count: int) -> ControlState:
    """Return a whole view without settings."""
    return ControlState(
        last_index=LOG_INDEX,
        servers=[sample_server(number) for number in range(server_count)],
        ranges=[sample_range(number, range_count) for number in range(range_count)],
        settings_version=52_000,
        settings_change_id="change-0123456789abcdef",
        settings_index=LOG_INDEX,
        settings_generation=GENERATION,
    )


def _incarnation(name: str, number: int) -> str:
    return f"{name}-{number * 0x9E3779B97F4A7C15 % 2**64:016x}"
