"""Notices that gateways share: what a server asked for in its responses."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from indigoworks.common.limit_report import LimitReport

MAX_REPORTERS = 4
"""Largest number of gateways that a notice names; no decision depends on more of them."""

MAX_NOTICES = 28
"""Largest number of notices in a report, at up to 49 bytes each, so that the report stays below the
1.5 KB of a packet."""


@dataclass(frozen=True, slots=True)
class SharedNotice:
    """What a server asked of the sender and of the members whose reports the sender aggregates.

    :ivar server: checksum of the server's id.
    :ivar rest_left_s: seconds for which it still wants no request from the reporters; 0: it asked
        none of them for rest.
    :ivar reporters: checksums of the gateways that were asked for rest.
    :ivar limit: the newest limit that any of them knows; None: none knows one.
    """

    server: int
    rest_left_s: float
    reporters: tuple[int, ...]
    is_leaving: bool
    limit: LimitReport | None = None

    def aged(self, age_s: float) -> "SharedNotice":
        """Return the same notice with its ages increased by `age_s`."""
        if self.limit is None:
            return self
        return replace(self, limit=replace(self.limit, age_s=self.limit.age_s + age_s))


def merge_notices(notices: Iterable[SharedNotice]) -> tuple[SharedNotice, ...]:
    """Return one notice for each server, leaving servers first; the input order has no effect."""
    merged: dict[int, SharedNotice] = {}
    for notice in notices:
        known = merged.get(notice.server)
        merged[notice.server] = notice if known is None else _merge(known, notice)
    ordered = sorted(merged.values(), key=lambda each: (not each.is_leaving, -each.rest_left_s))
    return tuple(ordered[:MAX_NOTICES])


def _merge(one: SharedNotice, other: SharedNotice) -> SharedNotice:
    reporters = sorted({*one.reporters, *other.reporters})
    return SharedNotice(
        one.server,
        max(one.rest_left_s, other.rest_left_s),
        tuple(reporters[:MAX_REPORTERS]),
        one.is_leaving or other.is_leaving,
        _newer(one.limit, other.limit),
    )


def _newer(one: LimitReport | None, other: LimitReport | None) -> LimitReport | None:
    if one is None or other is None:
        return one or other
    return one if one.age_s <= other.age_s else other
