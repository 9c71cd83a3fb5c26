"""Servers whose address another server has taken over."""

from eliot import log_message

from indigoworks.common.address import Address
from indigoworks.servers.replacement_evidence import ReplacementEvidence
from indigoworks.servers.server_record import ServerRecord

MAX_ADDRESSES = 8
"""Addresses kept for a server; those listed last are."""


class ReplacedServers:
    """Records at which addresses of servers others answer; logs each kind of evidence once.

    Another program may have written an address under a server's id. A response from there says
    nothing about the server, which lives on at the address that it had before.
    """

    def __init__(self) -> None:
        self._is_replaced_at: dict[str, dict[Address, bool]] = {}
        self._logged: set[tuple[str, ReplacementEvidence]] = set()

    def record_listed(self, record: ServerRecord) -> None:
        """Record the address of an entry."""
        addresses = self._is_replaced_at.setdefault(record.server_id, {})
        addresses[record.address] = addresses.pop(record.address, False)
        if len(addresses) > MAX_ADDRESSES:
            del addresses[next(iter(addresses))]

    def record_new_run(self, record: ServerRecord) -> None:
        """Record that a server has started again: earlier responses do not concern this run."""
        self._is_replaced_at.setdefault(record.server_id, {})[record.address] = False
        self._forget_logged(record.server_id)

    def add(self, record: ServerRecord, by_server_id: str, evidence: ReplacementEvidence) -> None:
        """Record that another server answers at the address of `record`."""
        server_id = record.server_id
        self._is_replaced_at.setdefault(server_id, {})[record.address] = True
        if (server_id, evidence) not in self._logged:
            self._logged.add((server_id, evidence))
            log_message(
                message_type="server:replaced",
                level="WARNING",
                server=server_id,
                address=str(record.address),
                by=by_server_id,
                sign=evidence.value,
            )

    def is_replaced(self, record: ServerRecord) -> bool:
        """Return whether another server answers at the address of `record`."""
        return self._is_replaced_at.get(record.server_id, {}).get(record.address, False)

    def is_gone(self, server_id: str) -> bool:
        """Return whether others answer at all addresses that a server was listed with."""
        addresses = self._is_replaced_at.get(server_id, {})
        return len(addresses) > 0 and all(addresses.values())

    def forget(self, server_id: str) -> None:
        """Remove a server that is no longer looked up."""
        self._is_replaced_at.pop(server_id, None)
        self._forget_logged(server_id)

    def _forget_logged(self, server_id: str) -> None:
        self._logged = {each for each in self._logged if each[0] != server_id}
