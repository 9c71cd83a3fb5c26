"""Broken rules of the controller."""

from result import Ok, Result

from indigoworks.admin.errors import AdminError
from indigoworks.admin.settings_accepted import SettingsAccepted
from indigoworks.controller.control_state import ReplicatedControlState
from indigoworks.controller.leadership import Leadership
from indigoworks.controller.lease_manager import LeaseManager
from indigoworks.controller.lease_timing import FAILED_RENEWALS_BEFORE_LOSS
from indigoworks.controller.server_lease import ServerLease
from indigoworks.controller.server_lease_task import ServerLeaseTask
from indigoworks.controller.settings_record import SettingsRecord
from indigoworks.controller.settings_service import SettingsService
from indigoworks.controller.settings_table import SettingsTable
from indigoworks.platform.errors import PlatformError
from indigoworks.wire.control_pb2 import RangeRecord, ReplaceSettings
from indigoworks_lab.simulation.broken_rules.broken_rule import BrokenRule, Replacement, ShownBy

_SOUND_LEASE_INIT = ServerLease.__init__
_SOUND_WITH_TOKEN = ReplicatedControlState._with_token


async def _write_nothing(
    _table: SettingsTable, _record: SettingsRecord
) -> Result[None, PlatformError]:
    return Ok(None)


async def _accept_at_once(
    service: SettingsService, record: SettingsRecord
) -> Result[SettingsAccepted, AdminError]:
    return Ok(SettingsAccepted(record.change_id, record.version))


def _take_any_settings(
    state: ReplicatedControlState, index: int, settings: ReplaceSettings
) -> None:
    state._settings = settings
    state._settings_index = index
    state._record_change(index)
    state.history.add_settings(index, settings)


def _token_of_generation(
    state: ReplicatedControlState, _index: int, replacement: RangeRecord
) -> RangeRecord:
    return _SOUND_WITH_TOKEN(state, 1, replacement)


def _init_without_earlier_leases(lease: ServerLease, _lapse_at_s: float) -> None:
    _SOUND_LEASE_INIT(lease, float("-inf"))


def _tell_if_lost(task: ServerLeaseTask) -> bool:
    is_silent = task._failures >= FAILED_RENEWALS_BEFORE_LOSS
    return is_silent and task._lease.has_lapsed(task._ports.clock.now())


CONTROLLER_RULES = (
    BrokenRule(
        "skip-lapse-wait",
        "A leader takes ranges from a silent server without waiting for its lease to lapse.",
        lambda: [Replacement(ServerLease, "has_lapsed", lambda *_: True)],
        "leases",
        ("sole ownership",),
        seed=5,
    ),
    BrokenRule(
        "renew-lost-servers",
        "A leader renews a server again after it has decided to take its ranges.",
        lambda: [Replacement(ServerLeaseTask, "mark_lost_if_expired", _tell_if_lost)],
        "leases",
        ("sole ownership",),
        shown_by=ShownBy.SEARCH,
    ),
    BrokenRule(
        "forget-earlier-leases",
        "A new leader takes no account of the leases that the one before it renewed.",
        lambda: [
            Replacement(ServerLease, "__init__", _init_without_earlier_leases),
            Replacement(Leadership, "have_earlier_leases_lapsed", lambda _leadership: True),
        ],
        "leases",
        ("sole ownership",),
        shown_by=ShownBy.SEARCH,
    ),
    BrokenRule(
        "hand-over-unreleased",
        "A leader gives a range to its next owner before the owner has released it.",
        lambda: [Replacement(LeaseManager, "has_released", lambda *_: True)],
        "handovers",
        ("sole ownership", "effects under ownership"),
        seed=10,
    ),
    BrokenRule(
        "tokens-of-the-generation",
        "All grants of a generation carry the same token.",
        lambda: [Replacement(ReplicatedControlState, "_with_token", _token_of_generation)],
        "leases",
        ("assignments kept",),
    ),
    BrokenRule(
        "settings-without-table",
        "A leader accepts settings that the table service does not hold.",
        lambda: [Replacement(SettingsTable, "write", _write_nothing)],
        "settings",
        (
            "settings in force",
            "accepted settings kept",
        ),
        shown_by=ShownBy.SEARCH,
    ),
    BrokenRule(
        "settings-acknowledged-early",
        "A leader tells the operator that a change is accepted before it is in the log.",
        lambda: [Replacement(SettingsService, "_put_in_force", _accept_at_once)],
        "settings",
        ("settings in force",),
        seed=5,
    ),
    BrokenRule(
        "settings-go-back",
        "A controller applies settings of any version, also of an older one.",
        lambda: [Replacement(ReplicatedControlState, "_replace_settings", _take_any_settings)],
        "settings",
        ("settings in force",),
        shown_by=ShownBy.NOTHING,
    ),
    BrokenRule(
        "keep-draining-servers",
        "A leader takes no notice of servers that want to be emptied.",
        lambda: [Replacement(LeaseManager, "draining_servers", lambda _keeper: [])],
        "leases",
        ("leaving servers idle",),
        seed=2,
    ),
)
