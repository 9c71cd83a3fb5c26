"""What the rest of the product asks of the list of servers."""

from collections.abc import Iterable
from typing import Protocol

from indigoworks.servers.replacement_evidence import ReplacementEvidence
from indigoworks.servers.server_record import ServerRecord


class ServerSource(Protocol):
    """Servers that may get work, and those that are leaving.

    A server whose entry vanished while the store was sound is leaving; one whose entry vanished
    in a time of trouble with the store stays usable until the store has been sound for long enough.
    """

    def usable(self, service: str) -> Iterable[ServerRecord]:
        """Return the servers of `service` that may get new work."""
        ...

    def known(self, service: str) -> Iterable[ServerRecord]:
        """Return the servers of `service` that are listed or were so a short time ago."""
        ...

    def get(self, server_id: str) -> ServerRecord | None:
        """Return a server that is listed or was so a short time ago, leaving ones included."""
        ...

    def is_listed(self, server_id: str) -> bool:
        """Tell whether the list has the server's entry."""
        ...

    def is_usable(self, server_id: str) -> bool:
        """Tell whether the server may get new work."""
        ...

    def is_cold(self, server_id: str) -> bool:
        """Tell whether a server bears few requests a second for a while."""
        ...

    def may_serve_own_keys(self, server_id: str) -> bool:
        """Tell whether an owner may get requests for its keys until these have moved."""
        ...

    def has_resting(self) -> bool:
        """Tell whether any server may rest: a quick look that spares the one at each server."""
        ...

    def rest_left_s(self, server_id: str) -> float:
        """Return for how much longer a server wants no request from this process; 0: it takes
        them."""
        ...

    def rest_left_s_for_many(self, server_id: str) -> float:
        """Return for how much longer several gateways are asked for rest by a server; 0: none or
        one is."""
        ...

    def limit_per_s(self, server_id: str) -> float | None:
        """Return the requests a second that are passed on to a server, by its word of late; None:
        it names no limit, or nobody has heard from it for long."""
        ...

    def is_gone(self, server_id: str) -> bool:
        """Tell whether the server's process is known to have ended."""
        ...

    def record_replaced(self, server_id: str, by_server_id: str, sign: ReplacementEvidence) -> None:
        """Take note that another server answers at the address of `server_id`.

        :param by_server_id: empty where the answer does not name it.
        """
        ...
