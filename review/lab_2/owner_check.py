"""Judges OWNER by what the targets took, as RULES.md says it."""

from dataclasses import dataclass

EXCUSED_S = 0.3
"""`thawSlack`: grants that arrive so soon after a thaw or a healed link are not counted."""


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
