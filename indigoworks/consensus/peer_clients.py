"""Connections of a node to its peers."""

from collections import Counter

from result import Result

from indigoworks.common.address import Address
from indigoworks.wire.control_pb2 import Frame
from indigoworks.wire.errors import CallTimedOut, WireError
from indigoworks.wire.rpc_client import RpcClient

TIMEOUTS_BEFORE_RECONNECT = 2


class PeerClients:
    """One connection per address, opened on demand and replaced when nothing comes back on it."""

    def __init__(self, group_id: int) -> None:
        self._group_id = group_id
        self._clients: dict[Address, RpcClient] = {}
        self._timeouts_in_row: Counter[Address] = Counter()

    async def call(
        self, address: Address, request: Frame, timeout_s: float
    ) -> Result[Frame, WireError]:
        """Send one request and wait for its reply, as `RpcClient.call` does."""
        client = self._to(address)
        called = await client.call(request, timeout_s)
        if called.is_ok() or not isinstance(called.unwrap_err(), CallTimedOut):
            self._timeouts_in_row[address] = 0
            return called
        self._timeouts_in_row[address] += 1
        if self._timeouts_in_row[address] >= TIMEOUTS_BEFORE_RECONNECT:
            # The machine may have been replaced without closing the connection: the new process
            # there would otherwise stay out of reach until TCP gives up.
            self._timeouts_in_row[address] = 0
            client.close()
        return called

    def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            client.close()
        self._clients.clear()

    def _to(self, address: Address) -> RpcClient:
        client = self._clients.get(address)
        if client is None:
            client = RpcClient(address, self._group_id)
            self._clients[address] = client
        return client
