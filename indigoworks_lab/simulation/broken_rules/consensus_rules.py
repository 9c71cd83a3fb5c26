"""Broken rules of the agreement."""

import indigoworks.controller.controller as controller_module
from indigoworks.consensus import vote_handler as vote_handler_module
from indigoworks.consensus.leader_support import LeaderSupport
from indigoworks.consensus.leadership import Leadership
from indigoworks.consensus.refusal import older_generation
from indigoworks.consensus.vote_handler import VoteHandler
from indigoworks.wire.control_pb2 import Frame, VoteRequest
from indigoworks_lab.simulation.broken_rules.broken_rule import BrokenRule, Replacement


def _own_last_index(leadership: Leadership) -> int:
    return leadership._replica.log.last_index


def _is_established(leadership: Leadership) -> bool:
    return leadership.is_established


def _refuse_older_generations_only(handler: VoteHandler, request: VoteRequest) -> Frame | None:
    replica = handler._replica
    if request.generation < replica.generation:
        return older_generation(replica.generation)
    if request.generation > replica.generation:
        replica.adopt_generation(request.generation)
    return None


CONSENSUS_RULES = (
    BrokenRule(
        "vote-after-restart",
        "A controller that restarts keeps its old identity, and so its vote, with an empty log.",
        lambda: [
            Replacement(controller_module, "new_incarnation", lambda name, _random: name),
            Replacement(VoteHandler, "_refusal", _refuse_older_generations_only),
        ],
        "agreement",
        (
            "assignments kept",
            "sole ownership",
        ),
        seed=51,
    ),
    BrokenRule(
        "acknowledge-before-quorum",
        "A leader counts an entry as committed once it stands in its own log.",
        lambda: [Replacement(Leadership, "_majority_match_index", _own_last_index)],
        "agreement",
        (
            "assignments kept",
            "sole ownership",
        ),
        seed=7,
    ),
    BrokenRule(
        "ignore-quorum-lease",
        "A leader takes itself for the leader without a majority that confirms it.",
        lambda: [
            Replacement(Leadership, "holds_quorum_lease", _is_established),
            Replacement(Leadership, "_is_lease_running", lambda _leadership: True),
        ],
        "agreement",
        ("one leader",),
        seed=8,
    ),
    BrokenRule(
        "support-two-leaders",
        "A voter votes for another leader while its promise to the present one runs.",
        lambda: [Replacement(LeaderSupport, "may_support", lambda *_: True)],
        "agreement",
        ("one leader",),
        seed=15,
    ),
    BrokenRule(
        "vote-for-shorter-log",
        "A voter votes for a candidate that lacks entries of its own log.",
        lambda: [Replacement(vote_handler_module, "is_log_up_to_date", lambda *_: True)],
        "agreement",
        (
            "assignments kept",
            "sole ownership",
        ),
        seed=8,
    ),
)
