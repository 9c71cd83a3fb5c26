"""detangle's event loop, with processes that can be frozen and killed."""

import asyncio
from collections.abc import Callable, Generator
from itertools import count
from typing import Any

from detangle import SimLoop
from detangle._config import SimConfig
from detangle._context import current_host
from detangle._loop import Lane, TaskInfo
from detangle.errors import StepLimitExceeded
from detangle.strategies import Strategy

from indigoworks_lab.simulation.core.process_context import PROCESS_NUMBER

HeldHandle = tuple[Lane, asyncio.Handle]


class NumberedTask(asyncio.Task[Any]):
    """A task whose hash is its number, so that sets of tasks iterate alike in every run."""

    numbers = count(1)

    def __init__(self, coroutine: Generator[Any, None, Any], **options: Any) -> None:
        self._number = next(NumberedTask.numbers)
        super().__init__(coroutine, **options)

    def __hash__(self) -> int:
        return self._number

    def __eq__(self, other: object) -> bool:
        return self is other


class FaultyLoop(SimLoop):
    """A `SimLoop` that holds back the handles of frozen processes and drops those of dead ones.

    Every handle carries the context it was made in, and the context names its process. A frozen
    process runs nothing: its timers, its incoming bytes and its tasks' next steps wait, in order,
    and run when it is thawed. A killed process never runs again, not even its `finally` blocks.
    """

    def __init__(self, config: SimConfig, strategy: Strategy | None = None) -> None:
        super().__init__(config, strategy)
        NumberedTask.numbers = count(1)
        self.set_task_factory(_make_task)
        self._held: dict[int, list[HeldHandle]] = {}
        self._dead: set[int] = set()
        self._make_network: Callable[[], Any] | None = None

    @property
    def net(self) -> Any:
        """The simulated network; the first use makes it."""
        if self._net is None and self._make_network is not None:
            self._net = self._make_network()
        return super().net

    def use_network(self, make_network: Callable[[], Any]) -> None:
        """Set what makes the network of this run."""
        self._make_network = make_network

    def freeze(self, process_number: int) -> None:
        """Stop running anything of the process until `thaw`."""
        self._held.setdefault(process_number, [])

    def thaw(self, process_number: int) -> None:
        """Let the process run on: everything that waited becomes ready, in order."""
        for lane, handle in self._held.pop(process_number, []):
            self._enqueue_lane(lane, handle)

    def kill(self, process_number: int) -> None:
        """Never run anything of the process again."""
        self._dead.add(process_number)
        self._held.pop(process_number, None)

    def is_frozen(self, process_number: int) -> bool:
        """Tell whether the process is frozen."""
        return process_number in self._held

    def _execute(self, lane: Lane, handle: asyncio.Handle) -> None:
        # detangle's own version also serves its tracer, its patched clock and its invariants,
        # which runs over tens of thousands of steps do without.
        if self._held or self._dead:
            number = handle._context.get(PROCESS_NUMBER)  # type: ignore[attr-defined]
            if number in self._dead:
                return
            if number in self._held:
                self._held[number].append((lane, handle))
                return
        handle._run()
        self.steps += 1
        if self._limits and self.steps >= self.config.max_steps:
            raise StepLimitExceeded(f"the run exceeded {self.steps} steps")

    def _lane_for_task(self, task: asyncio.Task[Any]) -> Lane:
        # As in detangle, without the place in the source that the task was started from.
        lane = self._task_lanes.get(task)
        if lane is None:
            lane = Lane(self._new_lane_id(), task, "task", "")
            self._task_lanes[task] = lane
            self.tasks.append(task)
            info = TaskInfo(task, lane, None, current_host.get(), None)
            self.task_info[task] = info
            if self._net is not None:
                self._net._on_task_created(task, info.host)
        return lane

    def _pick_lane(self) -> Lane | None:
        # detangle's own version sorts; without reordering only the oldest head is wanted.
        if self.config.reorder:
            return super()._pick_lane()
        oldest: Lane | None = None
        for lane in list(self._active.values()):
            queue = lane.queue
            while queue and queue[0][1]._cancelled:
                queue.popleft()
            if not queue:
                del self._active[lane.id]
            elif oldest is None or queue[0][0] < oldest.queue[0][0]:
                oldest = lane
        return oldest


def _make_task(loop: asyncio.AbstractEventLoop, coroutine: Any, **options: Any) -> NumberedTask:
    return NumberedTask(coroutine, loop=loop, **options)
