"""HTTP adapter of the list of machines."""

import json
from collections.abc import Mapping, Sequence
from http import HTTPStatus

from result import Err, Ok, Result

from indigoworks.platform.errors import PlatformError
from indigoworks.platform.http_requests import (
    PlatformHttpRequests,
    unreadable_response,
    without_effect,
)
from indigoworks.platform.machine_list import MachineList
from indigoworks.platform.machine_record import MachineRecord

MACHINES_PATH = "/machines"


class HttpMachineList(MachineList):
    """Reads the list of machines over HTTP. Each call is one request with a timeout."""

    def __init__(self, requests: PlatformHttpRequests) -> None:
        self._requests = requests

    async def machines(self) -> Result[Sequence[MachineRecord], PlatformError]:
        """Return the machines that the platform lists now."""
        sent = await self._requests.send("GET", MACHINES_PATH)
        if isinstance(sent, Err):
            return Err(without_effect(sent.err_value))
        records = _parse_records(sent.ok_value.body)
        if sent.ok_value.status != HTTPStatus.OK or records is None:
            return Err(unreadable_response("the list of machines"))
        return Ok(records)


def _parse_records(body: bytes) -> list[MachineRecord] | None:
    try:
        return [_parse_record(fields) for fields in json.loads(body)["machines"]]
    except (ValueError, KeyError, TypeError):
        return None


def _parse_record(fields: Mapping[str, object]) -> MachineRecord:
    return MachineRecord(
        name=str(fields["name"]),
        role=str(fields["role"]),
        service=str(fields["service"]),
        zone=str(fields["zone"]),
        host=str(fields["host"]),
        port=int(str(fields["port"])),
        is_leaving=fields.get("is_leaving", False) is True,
    )
