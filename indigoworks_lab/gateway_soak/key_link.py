"""The path to one process, which can be cut or fall silent for each of its callers."""

import asyncio
import time
from collections import defaultdict
from contextlib import suppress

from indigoworks.common.address import Address
from indigoworks_lab.gateway_soak.caller_filter import drop_callers
from indigoworks_lab.gateway_soak.caller_gate import CallerGate
from indigoworks_lab.launcher.free_ports import LOOPBACK

PIECE_BYTES = 64 * 1024
BACKLOG = 512


class KeyLink:
    """Listens where callers connect to and hands their bytes on to the target.

    A caller is known by its loopback address; the target sees the same one.

    :ivar gates: by the caller's address.
    """

    def __init__(self, listen_port: int, target_port: int) -> None:
        self.address = Address(LOOPBACK, listen_port)
        self.gates: defaultdict[str, CallerGate] = defaultdict(CallerGate)
        self._target_port = target_port
        self._listener: asyncio.Server | None = None
        self._dropped: set[str] = set()

    async def open(self) -> None:
        """Take connections."""
        if self._listener is None:
            self._listener = await asyncio.start_server(
                self._serve, LOOPBACK, self.address.port, backlog=BACKLOG, reuse_address=True
            )
            self._filter()

    def close(self) -> None:
        """Reset all connections and refuse new ones until `open`."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for gate in self.gates.values():
            gate.reset_all()

    def cut(self, caller: str) -> None:
        """Reset the caller's connections, also new ones, until `heal`."""
        self.gates[caller].is_cut = True
        self.gates[caller].reset_all()

    def fall_silent(self, caller: str, delivers: bool) -> None:
        """Take the caller's connections and bytes, and hold them back until `heal`.

        :param delivers: what it sent before it gave up is handed on then.
        """
        self.gates[caller].delivers = delivers
        self.gates[caller].passing.clear()

    def silence_open(self) -> None:
        """Let the open connections of all callers go silent for good, without a reset."""
        for gate in self.gates.values():
            gate.silence_open()

    def drop_connects(self, caller: str) -> None:
        """Leave the caller's attempts to connect unanswered until `heal`; its connections go on."""
        self._dropped.add(caller)
        self._filter()

    def heal(self, caller: str) -> None:
        """Hand on again."""
        if caller in self._dropped:
            self._dropped.discard(caller)
            self._filter()
        self.gates[caller].is_cut = False
        self.gates[caller].passing.set()

    def _filter(self) -> None:
        for each in self._listener.sockets if self._listener is not None else ():
            drop_callers(each, self._dropped)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        caller = writer.get_extra_info("peername")[0]
        gate = self.gates[caller]
        task = asyncio.current_task()
        if gate.is_cut or task is None:
            writer.transport.abort()
            return
        gate.tasks.add(task)
        number = gate.next_connection()
        far_writer = None
        accepted_s = time.monotonic()
        # A cut cancels: then the connection ends like one that was reset.
        with suppress(OSError, asyncio.CancelledError):
            try:
                await gate.pass_on(reader)
                far_reader, far_writer = await asyncio.open_connection(
                    LOOPBACK, self._target_port, local_addr=(caller, 0)
                )
                port = far_writer.get_extra_info("sockname")[1]
                # A caller sends at once when it has connected.
                gate.sent_s.setdefault(port, []).append(accepted_s)
                async with asyncio.TaskGroup() as group:
                    group.create_task(_hand_on(gate, number, reader, far_writer, port))
                    group.create_task(_hand_on(gate, number, far_reader, writer))
            except* OSError:
                pass
            finally:
                gate.tasks.discard(task)
                writer.transport.abort()
                if far_writer is not None:
                    far_writer.transport.abort()


async def _hand_on(
    gate: CallerGate,
    number: int,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    port: int | None = None,
) -> None:
    """:param port: of the caller, where the bytes are the caller's."""
    is_first = True
    while True:
        piece = await reader.read(PIECE_BYTES)
        if port is not None and not is_first:
            gate.note_sent(port)
        is_first = False
        await gate.pass_on(reader)
        if number < gate.silent_below:
            await _discard(reader, is_caller=port is not None)
        if not piece:
            # Either end closes the whole connection: nobody here closes one side only.
            raise ConnectionResetError
        writer.write(piece)
        await writer.drain()


async def _discard(reader: asyncio.StreamReader, is_caller: bool) -> None:
    """Hand on nothing more of a silent connection; it ends when the caller closes it."""
    while await reader.read(PIECE_BYTES):
        pass
    if not is_caller:
        await asyncio.Event().wait()
