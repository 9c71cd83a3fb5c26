"""Print what a whole view and one delta cost: python -m indigoworks_lab.load.view_costs.

Processor time and memory of the product's own code for views of several sizes. Times are the
median and the range of several rounds of this process's processor time; they depend on the
machine.
"""

import asyncio
import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable

from indigoworks.common.clock import LoopClock
from indigoworks.controller.control_state import ReplicatedControlState
from indigoworks.router.routing_view import RoutingView
from indigoworks.router.view_update import updated_view
from indigoworks.wire.control_pb2 import ChangeRanges, ViewDelta, ViewReply
from indigoworks_lab.load.sample_records import GENERATION, LOG_INDEX, sample_range, sample_state

RANGE_COUNTS = (64, 1024, 16384)
RANGES_PER_SERVER = 16
"""As in the samples of the settings tree under etc/."""
ROUNDS = 7
MICROSECONDS_PER_S = 1_000_000
BYTES_PER_KIB = 1024


async def main() -> None:
    """Print one line for each size; the state reads the clock of the running loop."""
    print("processor time in microseconds: median (smallest-largest) of", ROUNDS, "rounds")
    print("ranges servers snapshot_bytes router_view_KiB controller_state_KiB", end=" ")
    print("take_snapshot_us take_one_range_delta_us find_owner_us")
    for range_count in RANGE_COUNTS:
        print(_line(range_count))


def _line(range_count: int) -> str:
    server_count = range_count // RANGES_PER_SERVER
    state = sample_state(range_count, server_count)
    content = state.SerializeToString()
    snapshot = ViewReply(
        version=LOG_INDEX, generation=GENERATION, snapshot=state
    ).SerializeToString()
    view = _taken(None, snapshot)
    delta = _delta(range_count).SerializeToString()
    place = sample_range(range_count // 2, range_count).start
    return " ".join(
        (
            str(range_count),
            str(server_count),
            str(len(content)),
            str(_kept_kib(lambda: _taken(None, snapshot))),
            str(_kept_kib(lambda: _restored(content))),
            _times_us(lambda: _taken(None, snapshot)),
            _times_us(lambda: _taken(view, delta)),
            _times_us(lambda: view.assignment(state.ranges[0].service, place)),
        )
    )


def _delta(range_count: int) -> ViewReply:
    """Return a reply in which one range changes its owner."""
    before = sample_range(range_count // 2, range_count)
    after = sample_range(range_count // 2, range_count)
    after.token += range_count
    change = ChangeRanges(expected=[before], replacement=[after])
    delta = ViewDelta(from_version=LOG_INDEX, to_version=LOG_INDEX + 1, changes=[change])
    return ViewReply(version=LOG_INDEX + 1, generation=GENERATION, delta=delta)


def _taken(view: RoutingView | None, reply: bytes) -> RoutingView:
    return updated_view(view, ViewReply.FromString(reply)).unwrap()


def _restored(content: bytes) -> ReplicatedControlState:
    state = ReplicatedControlState(LoopClock())
    state.restore(content)
    return state


def _kept_kib(make: Callable[[], object]) -> int:
    """Return the memory that the made object keeps, as tracemalloc counts it."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    made = make()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del made
    return (after - before) // BYTES_PER_KIB


def _times_us(work: Callable[[], object]) -> str:
    times = []
    for _ in range(ROUNDS):
        started = time.process_time()
        work()
        times.append((time.process_time() - started) * MICROSECONDS_PER_S)
    return f"{statistics.median(times):.0f} ({min(times):.0f}-{max(times):.0f})"


if __name__ == "__main__":
    asyncio.run(main())
