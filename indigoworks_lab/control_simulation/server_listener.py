"""What a simulated server tells those who watch it."""

from typing import Protocol

from indigoworks.ownership.key_grant import KeyGrant


class ServerListener(Protocol):
    """Called as things happen; the server's state is still that before them."""

    def taking(self, server_id: str, grant: KeyGrant, is_excused: bool) -> None:
        """The server is about to take a grant."""
        ...

    def beginning(self, server_id: str, key: int) -> None:
        """The server is about to begin a request."""
        ...
