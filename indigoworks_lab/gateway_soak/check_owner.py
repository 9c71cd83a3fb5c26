"""Checkers: no two servers hold a key together, and tokens rise as keys pass on.

They read what the servers recorded, nothing of the gateways.
"""

from bisect import bisect_left, bisect_right
from collections.abc import Iterator, Sequence
from functools import partial
from itertools import groupby, product

from indigoworks_lab.checkers.violation import Violation
from indigoworks_lab.control_simulation.interval_map import IntervalMap
from indigoworks_lab.gateway_soak.key_event import KeyEvent
from indigoworks_lab.gateway_soak.key_history import KeyHistory
from indigoworks_lab.gateway_soak.key_hold import holds_of
from indigoworks_lab.gateway_soak.key_overlap import IsCounted, KeyOverlap, overlaps
from indigoworks_lab.gateway_soak.key_server_life import KeyServerLife

MAX_TOGETHER_S = 0.5
"""Two servers may hold a key for so long where only one of them begins requests on such keys."""

LONGEST_WORK_S = 20.0
"""Work begun longer ago has ended; a hold is shorter."""

SAME_MOMENT_S = 0.1
"""Overlaps of two processes that begin within it are told as one."""


def check_owner(history: KeyHistory) -> Sequence[Violation]:
    """Return every breach of the three rules, by time.

    Grants that arrive right after their sender was thawed or their link healed count for tokens
    only; those that are received late count for tokens and where both servers begin requests.
    """
    found = (
        *_both_begin(history, overlaps(history, history.is_counted)),
        *_hold_together(history, overlaps(history, history.is_in_time)),
        *_taken_early(history, history.is_in_time),
        *_tokens(history),
    )
    return sorted(found, key=lambda each: each.at_s)


def excused(history: KeyHistory) -> Sequence[Violation]:
    """Return what would break a rule besides if the rules counted every grant."""
    both = overlaps(history, _counts)
    found = (
        *_both_begin(history, both),
        *_hold_together(history, both),
        *_taken_early(history, _counts),
    )
    counted = {str(each) for each in check_owner(history)}
    return sorted((e for e in found if str(e) not in counted), key=lambda each: each.at_s)


def _counts(life: KeyServerLife, grant: KeyEvent) -> bool:
    return True


def _both_begin(history: KeyHistory, both: Sequence[KeyOverlap]) -> Iterator[Violation]:
    found = []
    for overlap in both:
        sides = (overlap.earlier.life, overlap.later.life)
        begun_s = [_first_begun_s(life, overlap) for life in sides]
        if None not in begun_s:
            found.append(overlap)
    for overlap in _each_moment(found):
        text = f"both began requests: {overlap.text(history)}"
        yield Violation("owner_work", overlap.from_s, text)


def _first_begun_s(life: KeyServerLife, overlap: KeyOverlap) -> float | None:
    begun = (each for each in life.events if each.kind == "begun" and overlap.covers(each))
    return next((each.at_s for each in begun), None)


def _hold_together(history: KeyHistory, both: Sequence[KeyOverlap]) -> Iterator[Violation]:
    long = [each for each in both if each.until_s - each.from_s > MAX_TOGETHER_S]
    for overlap in _each_moment(long):
        yield Violation("owner_hold", overlap.from_s, overlap.text(history))


def _each_moment(found: Sequence[KeyOverlap]) -> Iterator[KeyOverlap]:
    """Return the longest of the overlaps of two processes that begin at about the same time."""

    def moment(overlap: KeyOverlap) -> tuple[list[str], int]:
        names = sorted((overlap.earlier.life.name, overlap.later.life.name))
        return names, int(overlap.from_s / SAME_MOMENT_S)

    for _, same in groupby(sorted(found, key=moment), moment):
        yield max(same, key=lambda each: each.until_s - each.from_s)


# ---- keys that another server still works on ----


def _taken_early(history: KeyHistory, is_counted: IsCounted) -> Iterator[Violation]:
    for taker, other in product(history.lives, repeat=2):
        if taker is other:
            continue
        works = [each for each in other.events if each.kind == "begun"]
        begun_s = [each.at_s for each in works]
        ended_s = {each.request_id: each.at_s for each in other.events if each.kind == "ended"}
        for hold in holds_of(taker, partial(is_counted, taker)):
            oldest = bisect_left(begun_s, hold.from_s - LONGEST_WORK_S)
            for work in works[oldest : bisect_right(begun_s, hold.from_s)]:
                until_s = min(ended_s.get(work.request_id, other.ended_s), other.ended_s)
                if not hold.first <= work.first <= hold.last or hold.from_s >= until_s:
                    continue
                if hold.from_s < _lease_until_s(other, work, is_counted):
                    text = (
                        f"{taker.name} took keys {hold.first}-{hold.last}"
                        f" ({history.grant_text(taker, hold.grant)}) while"
                        f" {other.name} worked on {work.first} under {work.token}, before its lease"
                        f" would have expired{history.awake_text(taker, hold.from_s)}"
                    )
                    yield Violation("owner_work", hold.from_s, text)
                    break


def _lease_until_s(life: KeyServerLife, work: KeyEvent, is_counted: IsCounted) -> float:
    """Return when the lease of work that was begun would have expired, had it not been renewed
    any more, whether or not its keys were released since."""
    grants = [
        each
        for each in life.events
        if each.kind == "taken"
        and each.first <= work.first <= each.last
        and each.at_s <= work.at_s
        and is_counted(life, each)
    ]
    return grants[-1].at_s + grants[-1].hold_s if grants else float("-inf")


# ---- tokens ----


def _tokens(history: KeyHistory) -> Iterator[Violation]:
    highest: dict[str, IntervalMap[int]] = {}
    newest: dict[str, IntervalMap[int]] = {}
    takings = [
        (event, life) for life in history.lives for event in life.events if event.kind == "taken"
    ]
    for grant, life in sorted(takings, key=lambda each: each[0].at_s):
        own = newest.setdefault(life.server_id, IntervalMap(0))
        fresh = [each for each in own.pieces(grant.first, grant.last) if each.value != grant.token]
        for part, (other, tokens) in product(fresh, highest.items()):
            if other == life.server_id:
                continue
            for piece in tokens.pieces(part.first, part.last):
                if piece.value >= grant.token:
                    text = (
                        f"{life.name} took keys {piece.first}-{piece.last}"
                        f" ({history.grant_text(life, grant)}); {other} had them under"
                        f" {piece.value}{history.awake_text(life, grant.at_s)}"
                    )
                    yield Violation("owner_token", grant.at_s, text)
        own.set(grant.first, grant.last, grant.token)
        top = highest.setdefault(life.server_id, IntervalMap(0))
        for piece in list(top.pieces(grant.first, grant.last)):
            top.set(piece.first, piece.last, max(piece.value, grant.token))
