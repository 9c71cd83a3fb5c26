"""Servers that name a limit in their answers, and what it is."""

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.servers.server_record import ServerRecord


class ServerLimits:
    """Requests a second that servers take from all gateways together, as they said last."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._per_s: dict[str, float] = {}

    # ---- changes ----

    def note(self, server: ServerRecord, per_s: float) -> None:
        """Take the limit that a server names in an answer."""
        is_new = server.server_id not in self._per_s
        self._per_s[server.server_id] = per_s
        if is_new:
            log_message(
                message_type="server:names_limit",
                level="WARNING",
                server=server.server_id,
                service=server.service,
                limit_per_s=per_s,
            )

    def forget(self, server_id: str) -> None:
        """Forget a server that left, or an earlier life of one."""
        self._per_s.pop(server_id, None)

    # ---- questions ----

    def has_any(self) -> bool:
        """Tell whether any server names a limit: a quick look that spares the one at each."""
        return bool(self._per_s)

    def count(self) -> int:
        """Return how many servers name a limit."""
        return len(self._per_s)
