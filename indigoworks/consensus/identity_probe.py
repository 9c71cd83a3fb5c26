"""Asking who answers at addresses."""

import asyncio
from collections.abc import Iterable

from indigoworks.common.address import Address
from indigoworks.consensus.consensus_timing import ConsensusTiming
from indigoworks.consensus.peer_clients import PeerClients
from indigoworks.wire.control_pb2 import Frame, IdentityReply, IdentityRequest


class IdentityProbe:
    """Asks processes for their identity, generation and leader."""

    def __init__(self, clients: PeerClients, timing: ConsensusTiming) -> None:
        self._clients = clients
        self._timing = timing

    async def ask(self, addresses: Iterable[Address]) -> dict[Address, IdentityReply]:
        """Ask all addresses at once; those that do not answer are missing in the result."""
        asked = sorted(addresses)
        replies = await asyncio.gather(*(self._ask(address) for address in asked))
        return {
            address: reply
            for address, reply in zip(asked, replies, strict=True)
            if reply is not None
        }

    async def _ask(self, address: Address) -> IdentityReply | None:
        request = Frame(identity_request=IdentityRequest())
        called = await self._clients.call(address, request, self._timing.call_timeout_s)
        return called.unwrap().identity_reply if called.is_ok() else None
