"""Servers whose address another one has taken."""

from eliot import log_message

from indigoworks.servers.replacement_evidence import ReplacementEvidence


class ReplacedServers:
    """Remembers whom an answer told of, and writes a line for each server and sign, once."""

    def __init__(self) -> None:
        self._replaced: set[str] = set()
        self._told: set[tuple[str, ReplacementEvidence]] = set()

    def __contains__(self, server_id: str) -> bool:
        return server_id in self._replaced

    def add(self, server_id: str, by_server_id: str, sign: ReplacementEvidence) -> None:
        """Take note that another server answers at the address of `server_id`."""
        self._replaced.add(server_id)
        self.tell(server_id, by_server_id, sign)

    def tell(self, server_id: str, by_server_id: str, sign: ReplacementEvidence) -> None:
        """Write that another server has taken the address of `server_id`."""
        if (server_id, sign) not in self._told:
            self._told.add((server_id, sign))
            log_message(
                message_type="server:replaced",
                level="WARNING",
                server=server_id,
                by=by_server_id,
                sign=sign.value,
            )

    def forget(self, server_id: str) -> None:
        """Forget a server that nobody asks for any more, or an earlier life of it."""
        self._replaced.discard(server_id)
        self._told = {each for each in self._told if each[0] != server_id}
