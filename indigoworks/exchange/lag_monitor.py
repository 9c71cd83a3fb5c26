"""Notices that a peer knows newer rows than this process."""

from collections.abc import Callable

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.rowstore.store_version import NO_VERSION, StoreVersion

PATIENCE_S = 0.4
"""Feeds reach processes at slightly different times: so much lag says nothing."""

PATIENCE_FACTOR = 2.0
"""A feed that was asked anew has so many times as long: a slow store must get to answer."""

MAX_PATIENCE_S = 4.0


class LagMonitor:
    """Asks a feed anew when a peer has been ahead for too long: an answer to it may be lost.

    :param what: name of what is followed, for the log.
    :param own_version: returns the newest version that this process has.
    :param ask_anew: asks the store anew, since the feed's answer may be lost or long in coming.
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
        self._ask_anew = request_reread
        self._clock = clock
        self._behind_since_s: float | None = None
        self._behind_version = NO_VERSION
        self._patience_s = PATIENCE_S

    def record_version(self, peer: str, version: StoreVersion) -> None:
        """Take the version that a peer says it has."""
        own_version = self._own_version()
        if version <= own_version:
            return
        now_s = self._clock.now()
        if self._behind_since_s is None or self._behind_version != own_version:
            self._behind_since_s = now_s
            self._behind_version = own_version
            self._patience_s = PATIENCE_S
        elif now_s - self._behind_since_s > self._patience_s:
            self._behind_since_s = now_s
            self._patience_s = min(self._patience_s * PATIENCE_FACTOR, MAX_PATIENCE_S)
            log_message(
                message_type="feed:behind",
                level="WARNING",
                what=self._what,
                own_version=str(own_version),
                peer=peer,
                peer_version=str(version),
            )
            self._ask_anew()
