"""Port through which a server's address is tested."""

from collections.abc import Awaitable, Callable

from indigoworks.servers.server_record import ServerRecord

ConnectTest = Callable[[ServerRecord], Awaitable[bool]]
"""Opens a connection to a server, closes it, and returns whether it was accepted in time."""
