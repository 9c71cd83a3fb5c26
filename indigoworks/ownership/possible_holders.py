"""Servers that may hold keys by grants of which no table is known."""

import asyncio
from collections.abc import Iterable, Sequence

from indigoworks.common.clock import Clock
from indigoworks.ownership.hold_bounds import HoldBounds
from indigoworks.ownership.keeper_set import KeeperSet
from indigoworks.ownership.owned_range import FormerOwner, OwnedRange

RELEASE_ALL_TIMEOUT_S = 0.8
"""Longest wait for the answers to all releases, which servers answer when their work ends. Servers
that need longer are sent releases again range by range."""


class PossibleHolders:
    """Has servers release keys that they may hold, and tells which ones still may hold some.

    A server that answers a release holds none of the keys. One that does not stays a former owner
    until its longest possible hold ends.
    """

    def __init__(self, keepers: KeeperSet, bounds: HoldBounds, clock: Clock) -> None:
        self._keepers = keepers
        self._bounds = bounds
        self._clock = clock

    def record(self, owned: OwnedRange, server_ids: Iterable[str], until_s: float) -> None:
        """Record that servers may hold keys under the token of `owned` or a lower one."""
        for server_id in server_ids:
            self._bounds.add_possible_hold(server_id, owned, until_s)
            self._bounds.mark_inherited(server_id, owned.first, owned.last)

    async def release(
        self, service: str, spans: Iterable[tuple[str, OwnedRange]]
    ) -> Sequence[tuple[str, OwnedRange]]:
        """Send releases, each of keys under the token before that of the span, to a server.

        Returns those that did not rule their server out, once all are answered or after
        RELEASE_ALL_TIMEOUT_S.
        """
        releases = {
            asyncio.ensure_future(self._keepers.release(service, span, server_id)): (
                server_id,
                span,
            )
            for server_id, span in spans
        }
        if not releases:
            return ()
        done, pending = await asyncio.wait(releases, timeout=RELEASE_ALL_TIMEOUT_S)
        for each in pending:
            each.cancel()
        ruled_out = {each for each in done if each.result()}
        return [released for each, released in releases.items() if each not in ruled_out]

    def remaining(self, owned: OwnedRange, server_ids: Iterable[str]) -> Sequence[FormerOwner]:
        """Return the servers, except the owner, that may still hold a key of a range."""
        now_s = self._clock.now()
        return [
            FormerOwner(each)
            for each in sorted(set(server_ids) - {owned.server_id})
            if self._bounds.own_until_s(each, owned.first, owned.last) > now_s
        ]
