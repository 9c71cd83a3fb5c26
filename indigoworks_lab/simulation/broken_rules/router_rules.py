"""Broken rules of the router."""

from typing import Any

from indigoworks.backend.backend_response import BackendResponse
from indigoworks.router.dispatcher import ServerDispatcher
from indigoworks.router.errors import AnswerLost, OwnerUnreachable, RouterError
from indigoworks.router.request_path import RequestPath
from indigoworks.router.router import Router
from indigoworks.router.view_follower import ViewFollower
from indigoworks_lab.simulation.broken_rules.broken_rule import BrokenRule, Replacement

_SOUND_OUTCOME = ServerDispatcher._outcome


def _may_always_send_again(path: RequestPath, _request: Any, error: RouterError) -> bool:
    return isinstance(error, AnswerLost)


def _lost_as_not_run(dispatcher: ServerDispatcher, answered: Any) -> Any:
    outcome = _SOUND_OUTCOME(dispatcher, answered)
    if outcome.is_err() and isinstance(outcome.unwrap_err(), AnswerLost):
        error = outcome.unwrap_err()
        return outcome.map_err(lambda _: OwnerUnreachable(error.message, error.remedy, 1.0))
    return outcome


def _cut_answer(dispatcher: ServerDispatcher, answered: Any) -> Any:
    outcome = _SOUND_OUTCOME(dispatcher, answered)
    return outcome.map(_half)


def _half(answer: BackendResponse) -> BackendResponse:
    if len(answer.body) % 16:
        return answer
    return BackendResponse(answer.status, answer.headers, answer.body[: len(answer.body) // 2])


async def _end_at_once(router: Router) -> None:
    return None


ROUTER_RULES = (
    BrokenRule(
        "retry-after-lost-answer",
        "A router sends a request again after a lost answer, whatever its method.",
        lambda: [
            Replacement(RequestPath, "_may_send_again", _may_always_send_again),
            Replacement(ServerDispatcher, "_may_send", lambda *_: True),
        ],
        "answers",
        ("at most once",),
        seed=2,
    ),
    BrokenRule(
        "lost-answer-as-not-run",
        "A router tells the caller that a request whose answer was lost was not run.",
        lambda: [Replacement(ServerDispatcher, "_outcome", _lost_as_not_run)],
        "answers",
        ("not run",),
    ),
    BrokenRule(
        "ignore-view-lease",
        "A router forwards under its newest view, however old its confirmation is.",
        lambda: [Replacement(ViewFollower, "in_force", lambda follower: follower.latest)],
        "settings",
        ("settings in force",),
        seed=8,
    ),
    BrokenRule(
        "pass-on-cut-answers",
        "A router passes on half of some answers as if they were whole.",
        lambda: [Replacement(ServerDispatcher, "_outcome", _cut_answer)],
        "answers",
        ("whole answers",),
    ),
    BrokenRule(
        "stop-without-finishing",
        "A router that is stopped as planned ends without its requests in progress.",
        lambda: [Replacement(Router, "_finish_in_progress", _end_at_once)],
        "planned-stops",
        ("planned stop cuts nothing",),
        seed=2,
    ),
)
