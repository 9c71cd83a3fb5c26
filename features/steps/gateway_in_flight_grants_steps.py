"""Steps in which a leader is lost while a grant of it is in flight."""

from behave import then, when

from indigoworks_lab.control_simulation.in_flight_run import run_in_flight
from indigoworks_lab.control_simulation.leader_loss import LeaderLoss

MOMENTS = ((0.01, 4.0), (0.05, 8.0), (0.09, 12.5))
"""Seconds from the sending of the grant to the loss of its leader, and until it is taken."""

SEED = 1
NEVER_S = 30.0
"""A node that starts again so late plays no part."""

BACK_S = 1.5
AT_ONCE_S = 0.3
SHORT_HOLD_MAX_S = 4.0
CHAINS_S = (0.05, 0.5, 2.0)
HALF = 0.5


def losses(away_s=BACK_S, **how):
    return [LeaderLoss(after_s, late_s, away_s, **how) for after_s, late_s in MOMENTS]


def chains(**how):
    return [
        LeaderLoss(after_s, late_s, BACK_S, chain_s=chain_s, **how)
        for (after_s, late_s), chain_s in zip(MOMENTS, CHAINS_S, strict=True)
    ]


LOSSES = {
    "is killed and starts again soon": losses(),
    "is killed and stays away": losses(NEVER_S, hold_max_s=SHORT_HOLD_MAX_S),
    "is killed and succeeded by its own next process": losses(AT_ONCE_S),
    "resigns": losses(is_resigned=True),
    "is killed together with a peer that heard it": losses(peers_lost=1),
    "is killed together with all peers that heard it but one": losses(peers_lost=2),
    "is killed while half of the datagrams are lost": losses(datagram_loss=HALF),
    "resigns while half of the datagrams are lost": losses(is_resigned=True, datagram_loss=HALF),
    "is killed and its successor soon after it": chains(),
    "resigns and its successor soon after it": chains(is_resigned=True),
    "is killed after trouble of the store and starts again soon": losses(has_trouble=True),
    "is killed after trouble of the store and stays away": losses(NEVER_S, has_trouble=True),
}


@when("a leader whose grant is in flight {loss}")
def step_lost(context, loss):
    context.in_flight = [run_in_flight(SEED, each) for each in LOSSES[loss]]


@then("the grant was taken late under a successor that did not reach its server")
def step_forced(context):
    unforced = [each.text() for each in context.in_flight if not each.is_forced]
    assert not unforced, "\n".join(unforced)


@then("no two servers held one key in any of the runs with a grant in flight")
def step_one_holder(context):
    found = [each.text() for each in context.in_flight if each.found]
    assert not found, "\n".join(found)
