"""Broken rules on grants, releases and the bounds of holds."""

import asyncio
from dataclasses import replace

from indigoworks.exchange.open_grants import OpenGrants
from indigoworks.ownership import former_owners, hold_bounds, predecessor_bound
from indigoworks.ownership.former_owners import FormerOwners
from indigoworks.ownership.grant_replicator import GrantReplicator
from indigoworks.ownership.grant_witness import GrantWitness
from indigoworks.ownership.hold_bounds import HoldBounds
from indigoworks.ownership.hold_policy import HOLD_S
from indigoworks.ownership.key_release import KeyRelease
from indigoworks.ownership.order_outcome import OrderResult
from indigoworks.ownership.owned_range import OwnedRange
from indigoworks.ownership.server_reach import ServerReach
from indigoworks.ownership.transfer_proof import TransferProof
from indigoworks.servers.server_list import ServerList
from indigoworks_lab.control_simulation import lease_checker, overlap_checker, work_checker
from indigoworks_lab.control_simulation.broken_control_rule import broken_control_rule
from indigoworks_lab.control_simulation.fault_kind import FaultKind
from indigoworks_lab.control_simulation.late_look import look_before_connection
from indigoworks_lab.control_simulation.node_orders import NodeOrders
from indigoworks_lab.simulation.broken_rules.broken_rule import Replacement

SHORT_S = 0.02
SHORT_FACTOR = 0.5

_close_answered = HoldBounds.record_answered
_fence = GrantWitness.fence


async def _release_and_go_on(owners: FormerOwners, former: str) -> TransferProof | None:
    record = owners._servers.get(former)
    if record is None or not owners._leadership.may_act():
        return None
    release = KeyRelease(*owners._keys(), owners._owned.token - 1)
    outcome = await owners._orders.release(record, release, SHORT_S, lambda: True)
    is_sent = outcome.result in (OrderResult.DONE, OrderResult.UNANSWERED)
    return TransferProof.RELEASED if is_sent else None


def _lowest_release(first: int, last: int, _token: int) -> KeyRelease:
    return KeyRelease(first, last, 0)


def _close_own_token(bounds: HoldBounds, owned: OwnedRange, hold_s: float) -> None:
    _close_answered(bounds, replace(owned, token=owned.token + 1), hold_s)
    _close_answered(bounds, owned, hold_s)


def _no_turns(_reach: ServerReach, _server_id: str) -> asyncio.Lock:
    return asyncio.Lock()


def _gone_when_unlisted(servers: ServerList, server_id: str) -> bool:
    return server_id not in servers._listed


def _fence_without_servers(witness: GrantWitness, epoch: int) -> OpenGrants | None:
    grants = _fence(witness, epoch)
    return None if grants is None else replace(grants, servers=())


def _fence_with_short_holds(witness: GrantWitness, epoch: int) -> OpenGrants | None:
    grants = _fence(witness, epoch)
    if grants is None:
        return None
    servers = tuple(replace(each, left_s=0.0) for each in grants.servers)
    return replace(grants, hold_s=HOLD_S, servers=servers)


def _is_listed_at_once(_replicator: GrantReplicator, _server_id: str) -> bool:
    return True


LATE_THEN_CUT = (
    (FaultKind.ORDERS_LATE, 0.5, 14.0),
    (FaultKind.SERVER_CUT_FROM_LEADER, 1.0, 12.0),
    (FaultKind.SERVER_CUT_FROM_LEADER, 4.0, 12.0),
)
LATE_THEN_LEADER_LOST = (
    (FaultKind.ORDERS_ALL_LATE, 3.5, 0.55),
    (FaultKind.SERVER_DARK, 3.95, 13.9),
    (FaultKind.LEADER_KILLED, 4.0, 1.6),
)
"""The node of the leader starts again soon after another leads: it is then known to act no more."""


LATE_AFTER_CUT_FROM_PEERS = (
    (FaultKind.LEADER_CUT_FROM_PEERS, 3.4, 12.0),
    (FaultKind.LEADER_CUT_FROM_STORE, 3.4, 12.0),
    (FaultKind.ORDERS_ALL_LATE, 3.5, 0.6),
    (FaultKind.SERVER_DARK, 4.1, 13.9),
)
"""No witness hears what the leader sends after the cut."""

LATE_THEN_ALL_LOST = (
    *LATE_THEN_LEADER_LOST[:2],
    (FaultKind.ALL_NODES_KILLED, 4.0, 0.5),
)
LONG_AND_LATE_THEN_LEADER_LOST = (
    (FaultKind.LEADER_CUT_FROM_STORE, 3.0, 1.9),
    (FaultKind.ORDERS_ALL_LATE, 4.25, 0.5),
    (FaultKind.SERVER_DARK, 4.75, 20.0),
    (FaultKind.LEADER_KILLED, 4.8, 0.5),
)
"""Grants of the last moment are unanswered, and long since the store is out of reach."""

LATE_THEN_NEW_LEADERS = (
    (FaultKind.ORDERS_LATE, 0.5, 16.0),
    (FaultKind.SERVER_DRAINING, 3.9, 0.0),
    (FaultKind.LEADER_KILLED, 4.0, 1.5),
    (FaultKind.SERVER_DRAINING, 8.9, 0.0),
    (FaultKind.LEADER_KILLED, 9.0, 1.5),
)
"""A new leader does not know which grants of the one before it went unanswered."""

BROKEN_ORDER_RULES = (
    broken_control_rule(
        "late-orders-ignored",
        "An unanswered grant counts from its sending, as if it were taken then.",
        overlap_checker.CHECKER,
        lambda: [Replacement(hold_bounds, "MAX_ORDER_DELAY_S", -0.8)],
        *LATE_THEN_CUT,
    ),
    broken_control_rule(
        "open-grants-unsaid",
        "A witness leaves out the servers that may yet apply a grant.",
        overlap_checker.CHECKER,
        lambda: [Replacement(GrantWitness, "fence", _fence_without_servers)],
        *LATE_THEN_LEADER_LOST,
    ),
    broken_control_rule(
        "grants-before-acknowledgement",
        "A leader sends a grant before its witnesses list the server.",
        overlap_checker.CHECKER,
        lambda: [Replacement(GrantReplicator, "_is_listed", _is_listed_at_once)],
        *LATE_AFTER_CUT_FROM_PEERS,
    ),
    broken_control_rule(
        "late-orders-unheard",
        "Of a leader that was never heard, only answered grants are waited for.",
        overlap_checker.CHECKER,
        lambda: [Replacement(predecessor_bound, "MAX_ORDER_DELAY_S", 0.0)],
        *LATE_THEN_ALL_LOST,
    ),
    broken_control_rule(
        "long-holds-unsaid",
        "A witness tells of short holds where the leader may grant long ones.",
        overlap_checker.CHECKER,
        lambda: [Replacement(GrantWitness, "fence", _fence_with_short_holds)],
        *LONG_AND_LATE_THEN_LEADER_LOST,
    ),
    broken_control_rule(
        "release-without-waiting",
        "A release counts as answered while requests on the keys still run.",
        work_checker.CHECKER,
        lambda: [Replacement(FormerOwners, "release", _release_and_go_on)],
        (FaultKind.SERVER_DRAINING, 1.0, 0.0),
        (FaultKind.SERVER_DRAINING, 6.0, 0.0),
    ),
    broken_control_rule(
        "release-under-old-token",
        "A release names no higher token: late grants are taken after it.",
        overlap_checker.CHECKER,
        lambda: [Replacement(former_owners, "KeyRelease", _lowest_release)],
        *LATE_THEN_NEW_LEADERS,
        servers=5,
    ),
    broken_control_rule(
        "late-closed-by-same-token",
        "An answered renewal rules out an unanswered one under the same token.",
        overlap_checker.CHECKER,
        lambda: [Replacement(HoldBounds, "record_answered", _close_own_token)],
        *LATE_THEN_CUT,
    ),
    broken_control_rule(
        "unanswered-as-not-taken",
        "A grant that was not answered counts as not taken.",
        overlap_checker.CHECKER,
        lambda: [Replacement(HoldBounds, "record_unanswered", HoldBounds.record_not_applied)],
        *LATE_THEN_CUT,
    ),
    broken_control_rule(
        "act-before-turn",
        "A grant is not looked at again when its turn comes.",
        lease_checker.CHECKER,
        lambda: [
            Replacement(ServerReach, "grant_lock", _no_turns),
            Replacement(NodeOrders, "grant", look_before_connection),
        ],
        (FaultKind.ORDERS_LATE, 0.5, 16.0),
        (FaultKind.LEADER_CUT_FROM_PEERS, 2.0, 12.0),
        (FaultKind.LEADER_CUT_FROM_STORE, 2.0, 12.0),
    ),
    broken_control_rule(
        "hold-counted-short",
        "The bound of a hold is shorter than what was granted.",
        overlap_checker.CHECKER,
        lambda: [Replacement(hold_bounds, "CLOCK_DRIFT_FACTOR", SHORT_FACTOR)],
        (FaultKind.SERVER_CUT_FROM_LEADER, 1.0, 8.0),
        (FaultKind.SERVER_CUT_FROM_LEADER, 10.0, 6.0),
    ),
    broken_control_rule(
        "gone-when-unlisted",
        "A server without entry is taken for gone.",
        overlap_checker.CHECKER,
        lambda: [Replacement(ServerList, "is_gone", _gone_when_unlisted)],
        (FaultKind.SERVER_VANISHED, 1.0, 0.0),
    ),
)
