"""Servers whose address another server has taken over."""

from eliot import log_message

from indigoworks.servers.replacement_evidence import ReplacementEvidence


class ReplacedServers:
    """Records servers that a response showed to be replaced; logs each kind of evidence once."""

    def __init__(self) -> None:
        self._replaced: set[str] = set()
        self._logged: set[tuple[str, ReplacementEvidence]] = set()

    def __contains__(self, server_id: str) -> bool:
        return server_id in self._replaced

    def add(self, server_id: str, by_server_id: str, evidence: ReplacementEvidence) -> None:
        """Record that another server answers at the address of `server_id`."""
        self._replaced.add(server_id)
        if (server_id, evidence) not in self._logged:
            self._logged.add((server_id, evidence))
            log_message(
                message_type="server:replaced",
                level="WARNING",
                server=server_id,
                by=by_server_id,
                sign=evidence.value,
            )

    def forget(self, server_id: str) -> None:
        """Remove a server that is no longer looked up, or an earlier run of it."""
        self._replaced.discard(server_id)
        self._logged = {each for each in self._logged if each[0] != server_id}
