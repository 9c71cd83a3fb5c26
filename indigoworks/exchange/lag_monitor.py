"""Detects that a peer has newer rows than this process."""

from collections.abc import Callable

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.rowstore.store_version import NO_VERSION, StoreVersion

INITIAL_LAG_LIMIT_S = 0.4
"""Lag that is tolerated at first: feeds reach processes at slightly different times."""

LAG_LIMIT_GROWTH = 2.0
"""Growth of the tolerated lag with each requested reread, so that a slow store can respond."""

MAX_LAG_LIMIT_S = 4.0


class LagMonitor:
    """Requests a reread when a peer has been ahead for too long: a feed response may be lost.

    :param what: name of the followed data, for the log.
    :param own_version: returns the newest version that this process has.
    :param request_reread: reads the rows again, since the feed's response may be lost or slow.
    """

    def __init__(
        self,
        what: str,
        own_version: Callable[[], StoreVersion],
        request_reread: Callable[[], None],
        clock: Clock,
    ) -> None:
        self._what = what
        self._own_version = own_version
        self._request_reread = request_reread
        self._clock = clock
        self._behind_since_s: float | None = None
        self._behind_version = NO_VERSION
        self._lag_limit_s = INITIAL_LAG_LIMIT_S

    def record_version(self, peer: str, version: StoreVersion) -> None:
        """Record the version that a peer reports."""
        own_version = self._own_version()
        if version <= own_version:
            return
        now_s = self._clock.now()
        if self._behind_since_s is None or self._behind_version != own_version:
            self._behind_since_s = now_s
            self._behind_version = own_version
            self._lag_limit_s = INITIAL_LAG_LIMIT_S
        elif now_s - self._behind_since_s > self._lag_limit_s:
            self._behind_since_s = now_s
            self._lag_limit_s = min(self._lag_limit_s * LAG_LIMIT_GROWTH, MAX_LAG_LIMIT_S)
            log_message(
                message_type="feed:behind",
                level="WARNING",
                what=self._what,
                own_version=str(own_version),
                peer=peer,
                peer_version=str(version),
            )
            self._request_reread()
