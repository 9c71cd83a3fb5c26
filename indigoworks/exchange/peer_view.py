"""View of the peers for other packages."""

from collections.abc import Iterable
from typing import Protocol

from indigoworks.exchange.key_sample import KeySample
from indigoworks.exchange.load_view import LoadView
from indigoworks.exchange.peer_report import PeerReport


class PeerView(LoadView, Protocol):
    """Newest reports of the live peers.

    Times are readings of the process's monotonic clock, in seconds.
    """

    def live_reports(self) -> Iterable[PeerReport]:
        """Return the newest report of each peer that was heard within 1 s."""
        ...

    def report_time_s(self, node: str) -> float | None:
        """Return when the newest report of `node` arrived; None: none has."""
        ...

    def heard_time_s(self, node: str) -> float | None:
        """Return when `node` was last heard, here or by a live hub; None: never."""
        ...

    def live_count(self) -> int:
        """Return the number of live peers, including those that a live hub lists."""
        ...

    def drain_samples(self) -> list[KeySample]:
        """Return and remove the samples since the last call, those of this process included."""
        ...
