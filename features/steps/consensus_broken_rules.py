"""Broken copies of single rules of the agreement, to show that the watch notices each."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any
from unittest import mock

from indigoworks.consensus import vote_handler
from indigoworks.consensus.append_handler import AppendHandler
from indigoworks.consensus.checkpoint_writer import CheckpointWriter
from indigoworks.consensus.leader_support import LeaderSupport
from indigoworks.consensus.leadership import Leadership
from indigoworks.consensus.voter_evidence import VoterEvidence
from indigoworks.wire.control_pb2 import AppendRequest


async def _announce_nothing(writer: CheckpointWriter, configuration: Any) -> bool:
    return True


def _ended_long_ago(evidence: VoterEvidence) -> float:
    return float("-inf") if evidence._since_s is None else float("inf")


def _confirm_now(handler: AppendHandler, request: AppendRequest) -> None:
    handler._replica.confirm(handler._clock.now())


def _last_index(leadership: Leadership) -> int:
    return leadership._replica.log.last_index


BROKEN_RULES: dict[str, list[tuple[Any, str, Callable[..., Any]]]] = {
    "a voter forgets the promise it gave": [
        (LeaderSupport, "has_lapsed", lambda support: True),
        (LeaderSupport, "may_support", lambda support, request: True),
    ],
    "a voter ignores how far the candidate's log reaches": [
        (vote_handler, "is_log_up_to_date", lambda log, request: True)
    ],
    "a leader commits without a majority": [(Leadership, "_majority_match_index", _last_index)],
    "a change of voters is not announced in the row": [
        (CheckpointWriter, "announce", _announce_nothing)
    ],
    "a generation is formed without waiting for the leases": [
        (VoterEvidence, "ended_for_s", _ended_long_ago)
    ],
    "a follower takes the arrival of a request for its confirmation": [
        (AppendHandler, "_confirm", _confirm_now)
    ],
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
