"""All broken rules of the control code; each is found by its checker."""

from typing import Any

from indigoworks.ownership import table_editor, table_writer
from indigoworks.ownership.former_owners import FormerOwners
from indigoworks.ownership.hold_bounds import HoldBounds
from indigoworks.ownership.leadership import Leadership
from indigoworks.ownership.owner_candidates import OwnerCandidates
from indigoworks.ownership.range_keeper import RangeKeeper
from indigoworks.rowstore.transaction import Transaction
from indigoworks_lab.control_simulation import (
    lease_checker,
    overlap_checker,
    recovery_checker,
    row_checker,
    token_checker,
    work_checker,
)
from indigoworks_lab.control_simulation.broken_control_rule import broken_control_rule
from indigoworks_lab.control_simulation.broken_machine_rules import BROKEN_MACHINE_RULES
from indigoworks_lab.control_simulation.broken_order_rules import BROKEN_ORDER_RULES
from indigoworks_lab.control_simulation.broken_row_rules import BROKEN_ROW_RULES
from indigoworks_lab.control_simulation.fault_kind import FaultKind
from indigoworks_lab.simulation.broken_rules.broken_rule import Replacement


async def _rule_out_nobody(_owners: FormerOwners) -> None:
    """Take every former owner for gone."""


def _act_as_named(leadership: Leadership) -> bool:
    return leadership.is_named()


def _until_own_only(bounds: HoldBounds, server_id: str, first: int, last: int) -> float:
    return bounds.own_until_s(server_id, first, last)


def _unconditional(era: int, part: str, _expected: Any, puts: Any) -> Transaction:
    return Transaction(era, part, (), puts)


def _no_leavers(_candidates: OwnerCandidates, _table: Any) -> dict[str, str]:
    return {}


def _renew_on(_keeper: RangeKeeper) -> None:
    """Go on with the task."""


async def _renew_on_before_write(_keeper: RangeKeeper) -> None:
    """Go on with the renewals."""


CUT = (FaultKind.SERVER_DARK, 1.0, 8.0)

BROKEN_CONTROL_RULES = {
    each.rule.name: each
    for each in (
        broken_control_rule(
            "grant-without-ruling-out",
            "A range is granted while its former owner may still hold it.",
            overlap_checker.CHECKER,
            lambda: [Replacement(FormerOwners, "rule_out_all", _rule_out_nobody)],
            CUT,
            (FaultKind.SERVER_CUT_FROM_LEADER, 10.0, 5.0),
        ),
        broken_control_rule(
            "grant-while-work-runs",
            "As above; the former owner still works on requests.",
            work_checker.CHECKER,
            lambda: [Replacement(FormerOwners, "rule_out_all", _rule_out_nobody)],
            CUT,
        ),
        broken_control_rule(
            "act-without-lease",
            "A leader acts on while it knows of no other, however old its proof.",
            lease_checker.CHECKER,
            lambda: [Replacement(Leadership, "may_act", _act_as_named)],
            (FaultKind.LEADER_CUT_FROM_STORE, 1.0, 12.0),
        ),
        broken_control_rule(
            "same-token-after-move",
            "A range that moves keeps the token.",
            token_checker.CHECKER,
            lambda: [Replacement(table_editor, "TOKEN_STEP", 0)],
            (FaultKind.SERVER_DRAINING, 1.0, 0.0),
        ),
        broken_control_rule(
            "renew-whole-after-move",
            "The renewals of a range go on when a part of it or all has moved.",
            overlap_checker.CHECKER,
            lambda: [
                Replacement(RangeKeeper, "stop", _renew_on),
                Replacement(RangeKeeper, "quiesce", _renew_on_before_write),
            ],
            CUT,
            (FaultKind.SERVER_CUT_FROM_LEADER, 10.0, 4.0),
        ),
        broken_control_rule(
            "predecessor-bound-ignored",
            "A new leader does not wait for what earlier leaders granted.",
            overlap_checker.CHECKER,
            lambda: [Replacement(HoldBounds, "until_s", _until_own_only)],
            (FaultKind.STORE_REFUSING, 0.5, 6.0),
            (FaultKind.SERVER_DARK, 5.6, 10.0),
            (FaultKind.LEADER_KILLED, 5.7, 12.0),
        ),
        broken_control_rule(
            "write-without-conditions",
            "A leader writes tables without saying which version it knows.",
            row_checker.CHECKER,
            lambda: [Replacement(table_writer, "Transaction", _unconditional)],
            (FaultKind.LEADER_FROZEN, 1.0, 4.0),
        ),
        broken_control_rule(
            "keep-leavers",
            "Ranges of servers that left stay where they are.",
            recovery_checker.CHECKER,
            lambda: [Replacement(OwnerCandidates, "servers_to_drain", _no_leavers)],
            (FaultKind.SERVER_CRASHED, 1.0, 0.0),
        ),
        *BROKEN_ORDER_RULES,
        *BROKEN_ROW_RULES,
        *BROKEN_MACHINE_RULES,
    )
}
