"""LOST: a rolling restart ends requests without an answer that a full target leaves unanswered."""

import asyncio
import signal
import sys
import time
from dataclasses import dataclass
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lab_2"))

from client import Outcome, call  # noqa: E402
from fleet import GRACE_S, Gateway, route  # noqa: E402
from http_stream import Message  # noqa: E402
from stand_in_target import Target  # noqa: E402
from world import World, run_case  # noqa: E402

GATEWAYS = 8
TARGETS = 3
SLOTS = 2
QUEUE = 2
WORK_S = 0.2
TIMEOUT_S = 5.0
DEADLINE_S = 10.0
PER_S = 45.0
GAP_S = 1.3
BEFORE_S = 3.0
NO_NEW_S = 2.0
"""Two missed questions for readiness, one a second: the platform sends no new connection then."""

LOSS_SLACK_S = 0.2
LAST_SIXTH_S = GRACE_S * 5 / 6


@dataclass
class Sent:
    """One attempt, and the gateway that took it."""

    gateway: Gateway
    task: "asyncio.Task[Outcome]"


class FullTargets:
    """Targets that queue a few requests beyond their slots and never answer what they cannot.

    :ivar spans: when each request was worked on, by attempt id.
    """

    def __init__(self) -> None:
        self.spans: dict[str, list[float]] = {}
        self.dropped: set[str] = set()
        self._in_hand: dict[str, int] = {}

    async def behave(self, target: Target, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Answer a request, or leave it and all that follows on the connection unanswered."""
        attempt = request.headers["x-indigoworks-attempt-id"]
        in_hand = self._in_hand.get(target.server_id, 0)
        if in_hand >= SLOTS + QUEUE:
            self.dropped.add(attempt)
            target.note(f"is full and does not answer {attempt}")
            await asyncio.Event().wait()
        self._in_hand[target.server_id] = in_hand + 1
        span = self.spans.setdefault(attempt, [time.monotonic(), float("inf")])
        try:
            await target.work(request, writer)
        finally:
            span[1] = time.monotonic()
            self._in_hand[target.server_id] -= 1
        return True


async def play(world: World, trouble: bool) -> list[str]:
    """Send more than the targets can do, and stop and start the gateways in turn."""
    full = FullTargets()
    targets = [Target(f"p{number}", "plain", SLOTS, WORK_S) for number in range(TARGETS)]
    for target in targets:
        target.behaviour = full.behave
    await world.start(targets, GATEWAYS, zones=1)
    sent: list[Sent] = []
    stopped_s: dict[str, float] = {}
    away: set[str] = set()
    end_s = time.monotonic() + BEFORE_S + GAP_S * GATEWAYS + GRACE_S
    loads = [asyncio.ensure_future(_load(each, sent, away, end_s)) for each in world.gateways]
    await asyncio.sleep(BEFORE_S)
    turns = []
    for gateway in world.gateways if trouble else ():
        turns.append(asyncio.ensure_future(_restart(world, gateway, stopped_s, away)))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*loads, *turns)
    breaches = []
    for each in sent:
        outcome = await each.task
        name = each.gateway.name
        sent_s, ended_s = world.since_start(outcome.sent_s), world.since_start(outcome.ended_s)
        text = f"{outcome.attempt} at {name}: sent {sent_s:.3f}, ended {ended_s:.3f}, "
        text += str(outcome.status) if outcome.status else f"no answer ({outcome.detail})"
        world.note(text)
        if outcome.status == 0 and _is_lost(outcome, stopped_s.get(name), full):
            breaches.append(f"LOST: {text}; SIGTERM at {world.since_start(stopped_s[name]):.3f}")
    return breaches


async def _load(gateway: Gateway, sent: list[Sent], away: set[str], end_s: float) -> None:
    number = 0
    while time.monotonic() < end_s:
        number += 1
        if gateway.name not in away:
            path, method, body = ("/u/1", "POST", b"x") if number % 2 else ("/s/1", "GET", b"")
            work = call(gateway.front, path, method, body, int(DEADLINE_S * 1000))
            sent.append(Sent(gateway, asyncio.ensure_future(work)))
        await asyncio.sleep(GATEWAYS / PER_S)


async def _restart(
    world: World, gateway: Gateway, stopped_s: dict[str, float], away: set[str]
) -> None:
    stopped_s[gateway.name] = time.monotonic()
    world.note(f"SIGTERM of {gateway.name}")
    gateway.send(signal.SIGTERM)
    await asyncio.sleep(NO_NEW_S)
    away.add(gateway.name)
    process = gateway.process
    assert process is not None
    until_s = stopped_s[gateway.name] + GRACE_S
    while process.poll() is None and time.monotonic() < until_s:  # noqa: ASYNC110
        await asyncio.sleep(0.02)
    world.note(f"{gateway.name} has ended with {process.poll()}")
    gateway.end()
    gateway.start()
    if await gateway.wait_ready():
        away.discard(gateway.name)


def _is_lost(outcome: Outcome, stopped_s: float | None, full: FullTargets) -> bool:
    """Judge a connection that ended without an answer as LOST says, with its excuses."""
    if stopped_s is None or not stopped_s <= outcome.ended_s <= stopped_s + GRACE_S + 1.0:
        return False
    attempt = outcome.attempt
    was_passed_on = attempt in full.dropped or attempt in full.spans
    if not was_passed_on and outcome.ended_s - outcome.sent_s <= LOSS_SLACK_S:
        return False
    if outcome.ended_s - outcome.sent_s >= min(TIMEOUT_S, DEADLINE_S):
        return False
    begun_s, done_s = full.spans.get(attempt, (float("inf"), float("-inf")))
    was_at_work = begun_s <= outcome.ended_s and done_s >= stopped_s + LAST_SIXTH_S
    return not (was_at_work and outcome.sent_s <= stopped_s + 3.0)


if __name__ == "__main__":
    routes = [
        route("u", "/u/", "unsafe", "plain", timeout_ms=TIMEOUT_S * 1000, aim_ms=1500),
        route("s", "/s/", "safe", "plain", timeout_ms=TIMEOUT_S * 1000, aim_ms=1500),
    ]
    sys.exit(run_case(HERE, World(routes, {"plain": False}), play))
