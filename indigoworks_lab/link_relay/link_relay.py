"""The relay without its HTTP interface."""

import asyncio
from collections.abc import Sequence
from functools import partial

from indigoworks_lab.link_relay.flow_table import FlowTable
from indigoworks_lab.link_relay.relay_destination import RelayDestination
from indigoworks_lab.link_relay.relayed_connection import RelayedConnection
from indigoworks_lab.link_relay.sibling_processes import SiblingProcesses

BACKLOG = 512


class LinkRelay:
    """Listens for every destination and hands the bytes on, under the faults of the flows."""

    def __init__(self, destinations: Sequence[RelayDestination], flows: FlowTable) -> None:
        self._destinations = destinations
        self._flows = flows
        self._siblings = SiblingProcesses()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen for all destinations.

        :raises OSError: an address cannot be bound.
        """
        for destination in self._destinations:
            await asyncio.start_server(
                partial(self._accept, destination),
                destination.listen.host,
                destination.listen.port,
                backlog=BACKLOG,
            )

    def _accept(
        self,
        destination: RelayDestination,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        task = asyncio.ensure_future(self._serve(destination, reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(
        self,
        destination: RelayDestination,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        opener = self._siblings.opener_of(
            writer.get_extra_info("peername"), writer.get_extra_info("sockname")
        )
        connection = RelayedConnection(
            destination.target,
            self._flows.between(opener, destination.name),
            self._flows.between(destination.name, opener),
        )
        await connection.run(reader, writer)
