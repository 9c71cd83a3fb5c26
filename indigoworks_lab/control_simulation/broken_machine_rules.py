"""Broken rules that show on machines whose processes and clocks do not run evenly."""

from collections.abc import Iterable

from indigoworks.ownership import hold_bounds
from indigoworks.ownership.hold_bounds import HoldBounds
from indigoworks.ownership.leader_liveness import LeaderLiveness
from indigoworks.ownership.order_outcome import OrderOutcome, OrderResult
from indigoworks.ownership.predecessor_grants import PredecessorGrants
from indigoworks.ownership.recorded_hold import remove_keys_below
from indigoworks.ownership.server_reach import ServerReach
from indigoworks_lab.control_simulation import lease_checker, overlap_checker
from indigoworks_lab.control_simulation.broken_control_rule import broken_control_rule
from indigoworks_lab.control_simulation.fault_kind import FaultKind
from indigoworks_lab.control_simulation.late_look import look_before_connection
from indigoworks_lab.control_simulation.node_clock import NodeClock
from indigoworks_lab.control_simulation.node_orders import NodeOrders
from indigoworks_lab.simulation.broken_rules.broken_rule import Replacement
from indigoworks_lab.simulation.core.host_clock import HostClock


def _now_without_suspension(clock: NodeClock) -> float:
    return HostClock.now(clock) - clock._suspended_s


def _close_late(bounds: HoldBounds, server_id: str, first: int, last: int, token: int) -> None:
    for known in (bounds._settled_s, bounds._in_flight_s, bounds._unanswered_s, bounds._expired_s):
        remove_keys_below(known, server_id, first, last, token)


def _is_any_other(outcome: OrderOutcome, _server_id: str) -> bool:
    return outcome.result is OrderResult.OTHER_SERVER


def _never_silent(_reach: ServerReach, _server_id: str) -> float:
    return 0.0


def _nothing_open(_grants: PredecessorGrants, _now_s: float) -> Iterable[str]:
    return ()


def _nothing_earlier(_signs: LeaderLiveness, _epoch: int) -> float:
    return float("-inf")


BROKEN_MACHINE_RULES = (
    broken_control_rule(
        "orders-to-paused-as-answered",
        "A grant that waits at a paused server counts from its sending.",
        overlap_checker.CHECKER,
        lambda: [
            Replacement(hold_bounds, "MAX_ORDER_DELAY_S", -0.8),
            Replacement(ServerReach, "last_silence_s", _never_silent),
        ],
        (FaultKind.SERVER_PAUSED, 1.0, 8.0),
        (FaultKind.SERVER_PAUSED, 1.5, 8.0),
        (FaultKind.SERVER_PAUSED, 2.0, 8.0),
        (FaultKind.SERVER_PAUSED, 10.0, 8.0),
        (FaultKind.SERVER_PAUSED, 10.5, 8.0),
        servers=6,
    ),
    broken_control_rule(
        "clock-without-suspension",
        "A gateway reads a clock that stands still while its machine is suspended.",
        lease_checker.CHECKER,
        lambda: [Replacement(NodeClock, "now", _now_without_suspension)],
        (FaultKind.LEADER_CUT_FROM_STORE, 0.9, 12.0),
        (FaultKind.LEADER_CUT_FROM_PEERS, 2.2, 12.0),
        (FaultKind.LEADER_SUSPENDED, 2.3, 9.0),
    ),
    broken_control_rule(
        "release-closes-late-grants",
        "An answered release rules out grants that a server may take late.",
        overlap_checker.CHECKER,
        lambda: [Replacement(HoldBounds, "record_released", _close_late)],
        (FaultKind.ORDERS_LATE, 0.5, 16.0),
        forgets_releases=True,
    ),
    broken_control_rule(
        "look-before-connection",
        "Whether a grant may be sent is not asked again when its connection has come about.",
        lease_checker.CHECKER,
        lambda: [Replacement(NodeOrders, "grant", look_before_connection)],
        (FaultKind.LEADER_LATE_BEFORE_BYTES, 1.0, 15.0),
        (FaultKind.LEADER_CUT_FROM_STORE, 2.0, 8.0),
        (FaultKind.LEADER_CUT_FROM_PEERS, 2.0, 8.0),
    ),
    broken_control_rule(
        "any-421-ends-a-server",
        "A server that answers 421 is taken for gone, whoever it says that it is.",
        overlap_checker.CHECKER,
        lambda: [Replacement(OrderOutcome, "is_from_other", _is_any_other)],
        (FaultKind.SERVER_MISDIRECTED, 1.0, 6.0),
    ),
    broken_control_rule(
        "earlier-grants-untold",
        "A successor does not hear of what leaders before its predecessor granted.",
        overlap_checker.CHECKER,
        lambda: [
            Replacement(LeaderLiveness, "announced_earlier_until_s", _nothing_earlier),
            Replacement(PredecessorGrants, "open_at", _nothing_open),
        ],
        (FaultKind.STORE_REFUSING, 0.0, 3.0),
        (FaultKind.ORDERS_ALL_LATE, 2.5, 0.5),
        (FaultKind.SERVER_DARK, 2.9, 14.0),
        (FaultKind.LEADERS_LOST_IN_CHAIN, 3.0, 10.0),
    ),
)
