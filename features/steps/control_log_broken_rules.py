"""Broken copies of single rules of the control log, to show that the watch notices each."""

from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from typing import Any
from unittest import mock

from indigoworks.controllog.control_log_node import ControlLogNode
from indigoworks.controllog.leader_follower import LeaderFollower
from indigoworks.controllog.leader_lease_monitor import LeaderLeaseMonitor
from indigoworks.controllog.leader_tenure import LeaderTenure
from indigoworks.controllog.log_rows import LogRows
from indigoworks.platform.errors import VersionConflict
from indigoworks.platform.row_write import RowWrite
from indigoworks.wire.control_pb2 import FollowReply, LeaderRow

_SOUND_TAKE = LeaderFollower._apply
_SOUND_WRITE = LogRows.write


async def _write_once(
    tenure: LeaderTenure, row: LeaderRow, others: Sequence[RowWrite] = ()
) -> bool:
    sent_at_s = tenure._clock.now()
    written = await tenure._rows.write(row, tenure.version, others)
    return tenure._record_write(row, sent_at_s) if written.is_ok() else tenure.is_running()


async def _read_nothing(_rows: LogRows, _replica: Any, _row: LeaderRow) -> bool:
    return True


async def _take_for_done(_tenure: LeaderTenure, _row: LeaderRow) -> bool:
    return True


async def _write_over(rows: LogRows, row: LeaderRow, version: int, others: Any = ()) -> Any:
    while True:
        written = await _SOUND_WRITE(rows, row, version, others)
        if written.is_ok() or not isinstance(written.unwrap_err(), VersionConflict):
            return written
        version = (await rows.read_leader()).unwrap().version
        others = [RowWrite(each.key, each.value, await _version(rows, each.key)) for each in others]


async def _version(rows: LogRows, key: str) -> int:
    stored = (await rows._table.read(key)).unwrap()
    return 0 if stored is None else stored.version


def _take_at_arrival(follower: LeaderFollower, reply: FollowReply, _asked_at_s: float) -> None:
    _SOUND_TAKE(follower, reply, follower._clock.now())


async def _stop_at_once(node: ControlLogNode) -> None:
    node._is_stopping = True
    if node._running is not None:
        node._running.cancel()


BROKEN_RULES: dict[str, list[tuple[Any, str, Callable[..., Any]]]] = {
    "a challenger does not wait for the end of the lease": [
        (LeaderLeaseMonitor, "has_lapsed", lambda *_: True)
    ],
    "a leader acts on past its lease": [
        (LeaderTenure, "is_running", lambda tenure: not tenure._is_over)
    ],
    "a leader acknowledges what is not written": [(LeaderTenure, "_write", _write_once)],
    "a new leader does not read the rows": [(LogRows, "catch_up", _read_nothing)],
    "a write takes no account of the version": [(LogRows, "write", _write_over)],
    "a follower takes the arrival of an answer for its confirmation": [
        (LeaderFollower, "_apply", _take_at_arrival)
    ],
    "a leader that stops does not give its row up": [(ControlLogNode, "stop", _stop_at_once)],
    "a lost answer is not settled": [(LeaderTenure, "_took_effect", _take_for_done)],
}


@contextmanager
def broken_rule(name: str) -> Iterator[None]:
    """Replace a rule by its broken copy for the time of the block."""
    patches = [mock.patch.object(*replacement) for replacement in BROKEN_RULES[name]]
    for patch in patches:
        patch.start()
    try:
        yield
    finally:
        for patch in patches:
            patch.stop()
