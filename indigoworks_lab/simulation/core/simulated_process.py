"""One run of one simulated process."""

import asyncio
import contextvars
from collections.abc import Callable, Coroutine
from itertools import count
from typing import Any, TypeVar

from detangle._context import current_host

from indigoworks_lab.simulation.core.faulty_loop import FaultyLoop
from indigoworks_lab.simulation.core.faulty_network import FaultyNetwork
from indigoworks_lab.simulation.core.process_context import PROCESS_NUMBER

ResultT = TypeVar("ResultT")


class SimulatedProcess:
    """A process on a host of its own. It can be frozen, thawed and killed, once.

    :ivar host: IP number; a later run of a replacement may have the same or another one.
    :ivar is_alive: False after `kill`.
    """

    _numbers = count(1)

    def __init__(self, loop: FaultyLoop, name: str, host: str, zone: str) -> None:
        self.name = name
        self.host = host
        self.zone = zone
        self.is_alive = True
        self.number = next(SimulatedProcess._numbers)
        self._loop = loop
        self._reset_listeners: list[Callable[[], None]] = []
        self._context = contextvars.Context()
        self._context.run(current_host.set, host)
        self._context.run(PROCESS_NUMBER.set, self.number)
        loop.net.reset_connections(host)
        loop.net.restart(host)

    @classmethod
    def restart_numbering(cls) -> None:
        """Begin the process numbers anew, at the start of a run."""
        cls._numbers = count(1)

    @property
    def network(self) -> FaultyNetwork:
        """The network the process is attached to."""
        network: FaultyNetwork = self._loop.net
        return network

    @property
    def is_frozen(self) -> bool:
        """Tell whether the process is frozen now."""
        return self._loop.is_frozen(self.number)

    def spawn(self, coroutine: Coroutine[Any, Any, ResultT]) -> asyncio.Task[ResultT]:
        """Run the coroutine as a task of this process."""
        context = self._context.copy()
        task: asyncio.Task[ResultT] = self._loop.create_task(coroutine, context=context)
        return task

    def spawn_harness(self, coroutine: Coroutine[Any, Any, ResultT]) -> asyncio.Task[ResultT]:
        """Run the coroutine as a task of the harness: it goes on whatever befalls the process."""
        task: asyncio.Task[ResultT] = self._loop.create_task(
            coroutine, context=contextvars.Context()
        )
        return task

    def freeze(self) -> None:
        """Stop it as SIGSTOP does: bytes that arrive wait, its clock goes on."""
        self._loop.freeze(self.number)

    def thaw(self) -> None:
        """Let it go on as SIGCONT does."""
        self._loop.thaw(self.number)

    def kill(self, is_silent: bool) -> None:
        """End it at once; none of its code runs any more.

        :param is_silent: the machine is gone, so peers hear nothing until they time out;
            otherwise the machine's kernel resets the connections.
        """
        if not self.is_alive:
            return
        self.is_alive = False
        self._loop.kill(self.number)
        if not is_silent:
            self.network.reset_connections(self.host)
        self.network.crash(self.host)
        if not is_silent:
            self.network.restart(self.host)
            for listener in list(self._reset_listeners):
                listener()

    def add_reset_listener(self, listener: Callable[[], None]) -> None:
        """Call `listener` when the process ends and its host resets its connections."""
        self._reset_listeners.append(listener)

    def remove_reset_listener(self, listener: Callable[[], None]) -> None:
        """Forget a listener."""
        self._reset_listeners.remove(listener)

    def end(self) -> None:
        """Mark it as ended after a planned stop."""
        self.kill(is_silent=False)
