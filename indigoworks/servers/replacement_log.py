"""Lines of the log on servers that another one has replaced."""

from eliot import log_message

from indigoworks.servers.replacement_sign import ReplacementSign


class ReplacementLog:
    """Tells of each replaced server once for each sign."""

    def __init__(self) -> None:
        self._told: set[tuple[str, ReplacementSign]] = set()

    def tell(self, server_id: str, by_server_id: str, sign: ReplacementSign) -> None:
        """Tell that another server has taken the address of `server_id`."""
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
        """Forget a server that nobody asks for any more."""
        self._told = {each for each in self._told if each[0] != server_id}
