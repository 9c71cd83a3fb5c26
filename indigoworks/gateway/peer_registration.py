"""Lists this process among the gateways, so that peers can reach it."""

from random import Random

from eliot import log_message
from result import Err

from indigoworks.common.clock import Clock
from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.exchange.peer_directory import PEER_PREFIX, PeerDirectory, encode_peer
from indigoworks.ownership.control_group import CONTROL_TABLE, ControlGroup
from indigoworks.rowstore.row_store import RowStore
from indigoworks.rowstore.store_eras import StoreEras
from indigoworks.rowstore.transaction import RowPut

REGISTER_RETRY_S = 0.3
REGISTERED_PER_S = 40.0
"""Gateways that rewrite their address per second after the store has lost the addresses. Running
gateways know each other, and a part of the store takes a few hundred writes a second."""


class PeerRegistration:
    """Writes the address row of this process, again in each era of the store."""

    def __init__(
        self,
        own: PeerAddress,
        store: RowStore,
        group: ControlGroup,
        eras: StoreEras,
        directory: PeerDirectory,
        clock: Clock,
        random: Random,
    ) -> None:
        self._own = own
        self._store = store
        self._group = group
        self._eras = eras
        self._directory = directory
        self._clock = clock
        self._random = random

    async def run(self) -> None:
        """Write the row whenever an era begins, until cancelled."""
        await self._eras.wait_known()
        while True:
            era = self._eras.current
            await self._write()
            log_message(message_type="peer:registered", era=era)
            await self._eras.wait_after(era)
            # All gateways write to one part of the table, which limits the writes a second.
            span_s = self._directory.count_others() / REGISTERED_PER_S
            await self._clock.sleep(self._random.uniform(0.0, span_s))

    async def _write(self) -> None:
        put = RowPut(CONTROL_TABLE, PEER_PREFIX + self._own.node, encode_peer(self._own))
        while isinstance(await self._store.commit(self._group.transaction((), (put,))), Err):
            await self._clock.sleep(REGISTER_RETRY_S)
