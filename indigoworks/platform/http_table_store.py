"""HTTP adapter of the table service."""

import base64
import binascii
import json
from collections.abc import Sequence
from http import HTTPStatus
from urllib.parse import quote

from result import Err, Ok, Result

from indigoworks.platform.errors import PlatformError, VersionConflict
from indigoworks.platform.http_requests import (
    PlatformHttpRequests,
    unreadable_response,
    without_effect,
)
from indigoworks.platform.row_write import RowWrite
from indigoworks.platform.table_row import TableRow
from indigoworks.platform.table_store import TableStore

ROWS_PATH = "/tables/rows/"
TRANSACT_PATH = "/tables/transact"


class HttpTableStore(TableStore):
    """Reads and writes rows over HTTP. Each call is one request with a timeout."""

    def __init__(self, requests: PlatformHttpRequests) -> None:
        self._requests = requests

    async def read(self, key: str) -> Result[TableRow | None, PlatformError]:
        """Return the row, or None where there is none."""
        sent = await self._requests.send("GET", ROWS_PATH + quote(key, safe=""))
        if isinstance(sent, Err):
            return Err(without_effect(sent.err_value))
        response = sent.ok_value
        if response.status == HTTPStatus.NOT_FOUND:
            return Ok(None)
        if response.status != HTTPStatus.OK:
            return Err(unreadable_response(f"row {key}"))
        row = _parse_row(response.body)
        if row is None or row.key != key:
            return Err(unreadable_response(f"row {key}"))
        return Ok(row)

    async def transact(self, writes: Sequence[RowWrite]) -> Result[None, PlatformError]:
        """Apply all writes, or none; see `TableStore.transact` for the errors."""
        sent = await self._requests.send("POST", TRANSACT_PATH, _encode_writes(writes))
        if isinstance(sent, Err):
            return sent
        if sent.ok_value.status == HTTPStatus.OK:
            return Ok(None)
        if sent.ok_value.status == HTTPStatus.CONFLICT:
            return Err(_conflict(writes))
        return Err(unreadable_response("a transaction"))


def _encode_writes(writes: Sequence[RowWrite]) -> bytes:
    encoded = [
        {
            "key": write.key,
            "value": base64.b64encode(write.value).decode("ascii"),
            "expected_version": write.expected_version,
        }
        for write in writes
    ]
    return json.dumps({"writes": encoded}).encode()


def _parse_row(body: bytes) -> TableRow | None:
    try:
        fields = json.loads(body)
        value = base64.b64decode(fields["value"], validate=True)
        return TableRow(str(fields["key"]), value, int(fields["version"]))
    except (ValueError, KeyError, TypeError, binascii.Error):
        return None


def _conflict(writes: Sequence[RowWrite]) -> VersionConflict:
    keys = ", ".join(write.key for write in writes)
    return VersionConflict(
        f"A row of the transaction has another version than expected ({keys}).",
        "Read the rows and decide again.",
    )
