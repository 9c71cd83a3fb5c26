"""Judges OWNER by what the targets took and held, as RULES.md says it."""

from dataclasses import dataclass, replace

EXCUSED_S = 0.3
"""`thawSlack`: grants that arrive so soon after a thaw or a healed link are not counted."""


LONGEST_SHARED_S = 0.5
"""Two targets may hold identical keys for so long."""


@dataclass
class Span:
    """From when to when a target, while it was up, held keys."""

    server_id: str
    first: int
    last: int
    token: int
    from_s: float
    until_s: float


@dataclass(frozen=True)
class Taken:
    """One grant that a target took: when, who, which keys, under which token, and which life."""

    at_s: float
    server_id: str
    first: int
    last: int
    token: int
    life: int


def check_tokens(taken: list[Taken], excused_s: list[float], started_s: float = 0.0) -> list[str]:
    """Return the grants whose token isn't above all with which other targets had a key before.

    :param excused_s: when senders were thawed, and links healed.
    :param started_s: clock reading from which the texts count.
    """
    breaches = []
    for number, grant in enumerate(taken):
        if any(0 <= grant.at_s - each <= EXCUSED_S for each in excused_s):
            continue
        for before in taken[:number]:
            is_other = before.server_id != grant.server_id
            first, last = max(before.first, grant.first), min(before.last, grant.last)
            if is_other and first <= last and grant.token <= before.token:
                at_s, before_s = grant.at_s - started_s, before.at_s - started_s
                breaches.append(
                    f"OWNER: {grant.server_id} takes keys {first}-{last} with token "
                    f"{grant.token} at {at_s:.3f}; {before.server_id} had them with token "
                    f"{before.token} at {before_s:.3f}"
                )
                break
    return breaches


def check_spans(spans: list[Span], now_s: float, started_s: float = 0.0) -> list[str]:
    """Return where two targets held identical keys for more than half a second by `now_s`."""
    breaches = []
    spans = _joined(spans)
    for number, one in enumerate(spans):
        for other in spans[number + 1 :]:
            first, last = max(one.first, other.first), min(one.last, other.last)
            from_s = max(one.from_s, other.from_s)
            shared_s = min(one.until_s, other.until_s, now_s) - from_s
            is_other = one.server_id != other.server_id
            if is_other and first <= last and shared_s > LONGEST_SHARED_S:
                breaches.append(
                    f"OWNER: {one.server_id} (token {one.token}) and {other.server_id} (token "
                    f"{other.token}) both hold keys {first}-{last} for {shared_s:.3f} s from "
                    f"{from_s - started_s:.3f}"
                )
    return breaches


def _joined(spans: list[Span]) -> list[Span]:
    """Join the spans of a grant and of its renewals."""
    joined: dict[tuple[str, int, int, int], Span] = {}
    done = []
    for span in sorted(spans, key=lambda each: each.from_s):
        name = (span.server_id, span.first, span.last, span.token)
        before = joined.get(name)
        if before is not None and span.from_s - before.until_s < 0.01:
            before.until_s = max(before.until_s, span.until_s)
            continue
        joined[name] = replace(span)
        done.append(joined[name])
    return done
