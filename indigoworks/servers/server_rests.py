"""Servers that asked this process for rest, and until when."""

from collections.abc import Callable, Iterable

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.servers.server_record import ServerRecord

MAX_REST_S = 600.0
"""Longest rest that is taken at its word. A server that asks for a year has a fault, and is asked
again after so long: one request then shows whether it still wants rest."""


class ServerRests:
    """Wishes of servers for rest, as they were told to this process.

    A later answer only lengthens a rest: the one that asked for longer may have overtaken it, or
    been overtaken, and what it asked for still holds.

    :ivar on_change: called when a rest begins.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._until_s: dict[str, float] = {}
        self.on_change: Callable[[], None] = _nothing

    def note(self, server: ServerRecord, rest_s: float) -> None:
        """Take the wish of a server for `rest_s` seconds of rest from now on."""
        left_s = min(rest_s, MAX_REST_S)
        known_left_s = self.left_s(server.server_id)
        if left_s <= known_left_s:
            return
        self._until_s[server.server_id] = self._clock.now() + left_s
        if known_left_s > 0:
            return
        log_message(
            message_type="server:asks_rest",
            level="WARNING",
            server=server.server_id,
            service=server.service,
            rest_s=rest_s,
        )
        self.on_change()

    def has_any(self) -> bool:
        """Tell whether any server may rest: a quick look that spares the one at each server."""
        return bool(self._until_s)

    def left_s(self, server_id: str) -> float:
        """Return for how much longer a server wants no request from this process; 0: it takes
        them."""
        until_s = self._until_s.get(server_id)
        if until_s is None:
            return 0.0
        left_s = until_s - self._clock.now()
        if left_s <= 0:
            del self._until_s[server_id]
            return 0.0
        return left_s

    def resting(self) -> Iterable[str]:
        """Return the servers that rest now."""
        return [each for each in list(self._until_s) if self.left_s(each) > 0]

    def forget(self, server_id: str) -> None:
        """Forget a server that left, or an earlier life of one."""
        self._until_s.pop(server_id, None)


def _nothing() -> None:
    """Stand in until somebody wants to know."""
