"""View of the server list for other packages."""

from collections.abc import Iterable
from typing import Protocol

from indigoworks.servers.replacement_evidence import ReplacementEvidence
from indigoworks.servers.server_record import ServerRecord


class ServerSource(Protocol):
    """Servers that may get requests, and those that are leaving.

    A server whose entry vanished while the store worked is leaving; one whose entry vanished during
    trouble of the store stays usable until the store has worked for long enough.
    """

    def usable(self, service: str) -> Iterable[ServerRecord]:
        """Return the servers of `service` that may get new requests."""
        ...

    def known(self, service: str) -> Iterable[ServerRecord]:
        """Return the servers of `service` that are listed or were until recently."""
        ...

    def get(self, server_id: str) -> ServerRecord | None:
        """Return a server that is listed or was until recently, including leaving ones."""
        ...

    def is_listed(self, server_id: str) -> bool:
        """Return whether the list has the server's entry."""
        ...

    def is_usable(self, server_id: str) -> bool:
        """Return whether the server may get new requests."""
        ...

    def is_cold(self, server_id: str) -> bool:
        """Return whether a server takes few requests a second for a while."""
        ...

    def may_serve_own_keys(self, server_id: str) -> bool:
        """Return whether an owner may get requests for its keys until these have moved."""
        ...

    def has_resting(self) -> bool:
        """Return whether any server may rest: a cheap check before those of each server."""
        ...

    def rest_left_s(self, server_id: str) -> float:
        """Return the seconds for which a server asks this process for rest; 0: it does not."""
        ...

    def rest_left_s_for_many(self, server_id: str) -> float:
        """Return the seconds for which several gateways are asked for rest by a server; 0: at most
        one is."""
        ...

    def limit_per_s(self, server_id: str) -> float | None:
        """Return the requests a second to grant to a server, less than the limit that it names;
        None: it names none, or has not confirmed it recently."""
        ...

    def is_gone(self, server_id: str) -> bool:
        """Return whether the server's process is known to have ended."""
        ...

    def record_replaced(
        self, record: ServerRecord, by_server_id: str, evidence: ReplacementEvidence
    ) -> None:
        """Record that another server answers at the address of `record`.

        :param by_server_id: id of that server; empty if its response does not name it.
        """
        ...
