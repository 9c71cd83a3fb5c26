"""Broken rules of the control log."""

from collections.abc import Sequence

from result import Ok, Result

from indigoworks.controllog.leader_lease_monitor import LeaderLeaseMonitor
from indigoworks.controllog.leader_tenure import LeaderTenure
from indigoworks.controllog.log_rows import LogRows
from indigoworks.platform.errors import PlatformError
from indigoworks.platform.row_write import RowWrite
from indigoworks.wire.control_pb2 import LeaderRow
from indigoworks_lab.simulation.broken_rules.broken_rule import BrokenRule, Replacement

_SOUND_RUN = LeaderTenure.run
_SOUND_WRITE = LogRows.write


def _run_until_told(tenure: LeaderTenure) -> bool:
    return not tenure._is_over


async def _lead_unread(tenure: LeaderTenure) -> None:
    replica, row = tenure._replica, tenure._row
    replica.generation = row.generation
    replica.index = max(replica.index, row.last_index)
    replica.batch = max(replica.batch, row.last_batch)
    await _SOUND_RUN(tenure)


async def _write_once(
    tenure: LeaderTenure, row: LeaderRow, others: Sequence[RowWrite] = ()
) -> bool:
    sent_at_s = tenure._clock.now()
    written = await tenure._rows.write(row, tenure.version, others)
    if written.is_ok():
        return tenure._record_write(row, sent_at_s)
    await tenure._clock.sleep(tenure._timing.retry_s)
    return tenure.is_running()


async def _write_over(
    rows: LogRows, row: LeaderRow, version: int, others: Sequence[RowWrite] = ()
) -> Result[None, PlatformError]:
    written = await _SOUND_WRITE(rows, row, version, others)
    if written.is_ok():
        return written
    found = await rows.read_leader()
    if found.is_err():
        return written
    again = []
    for other in others:
        read = await rows._table.read(other.key)
        stored = read.unwrap_or(None)
        again.append(RowWrite(other.key, other.value, 0 if stored is None else stored.version))
    over = await _SOUND_WRITE(rows, row, found.unwrap().version, again)
    return Ok(None) if over.is_ok() else written


CONTROL_LOG_RULES = (
    BrokenRule(
        "lead-without-reading",
        "A new leader does not read what the one before it committed.",
        lambda: [Replacement(LeaderTenure, "run", _lead_unread)],
        "agreement",
        ("assignments kept", "sole ownership"),
    ),
    BrokenRule(
        "acknowledge-before-row",
        "A leader counts entries as committed whatever became of their write.",
        lambda: [Replacement(LeaderTenure, "_write", _write_once)],
        "settings",
        ("assignments kept", "sole ownership"),
        seed=2,
    ),
    BrokenRule(
        "ignore-leader-lease",
        "A leader takes itself for the leader until it is told of another.",
        lambda: [Replacement(LeaderTenure, "is_running", _run_until_told)],
        "agreement",
        ("one leader",),
        seed=5,
    ),
    BrokenRule(
        "take-running-lease",
        "A challenger takes the leader's row without waiting for the lease to end.",
        lambda: [Replacement(LeaderLeaseMonitor, "has_lapsed", lambda *_: True)],
        "agreement",
        ("one leader",),
        seed=3,
    ),
    BrokenRule(
        "write-without-condition",
        "A leader writes its rows over what a later one wrote.",
        lambda: [Replacement(LogRows, "write", _write_over)],
        "agreement",
        ("assignments kept", "sole ownership", "one leader"),
        seed=14,
    ),
)
