"""Signs of life of leaders, from the exchange between gateways."""

from indigoworks.common.clock import Clock
from indigoworks.exchange.leader_beat import LeaderBeat, PendingRange
from indigoworks.exchange.peer_directory import PeerDirectory
from indigoworks.exchange.peer_report import PeerReport
from indigoworks.exchange.peer_view import PeerView

LATE_REPORT_S = 1.2
"""A report that hubs hand on is heard no later than so long after it was sent."""

_Life = tuple[str, str]
"""Node and boot of a process."""


class LeaderLiveness:
    """Newest beat heard, and what peers say that they heard."""

    def __init__(self, peers: PeerView, directory: PeerDirectory, clock: Clock) -> None:
        self._peers = peers
        self._directory = directory
        self._clock = clock
        self._beat: LeaderBeat | None = None
        self._beat_s = float("-inf")
        self._epochs: dict[_Life, int] = {}
        self._heard_s: dict[_Life, float] = {}

    def record_report(self, report: PeerReport) -> None:
        """Take a report of a peer."""
        life = (report.node, report.boot)
        self._epochs[life] = max(self._epochs.get(life, 0), report.epoch)
        self._heard_s[life] = self._clock.now()
        beat = report.leader
        if beat is not None and (self._beat is None or beat.epoch >= self._beat.epoch):
            self._beat = beat
            self._beat_s = self._clock.now()

    def heard_later_epoch(self, epoch: int) -> bool:
        """Tell whether a beat of a later epoch was heard."""
        return self._beat is not None and self._beat.epoch > epoch

    def beat_age_s(self, epoch: int) -> float:
        """Return the age of the newest beat of `epoch` that was heard here; infinity: none."""
        if self._beat is None or self._beat.epoch != epoch:
            return float("inf")
        return self._clock.now() - self._beat_s

    def proof_age_s(self, epoch: int) -> float:
        """Return the age of the proof that the leader of `epoch` told of; infinity: it did not."""
        if self._beat is None or self._beat.epoch != epoch:
            return float("inf")
        return self._beat.proof_age_s + self.beat_age_s(epoch)

    def silence_s(self, epoch: int, row_seen_s: float) -> float:
        """Return for how long nobody that is heard has heard the leader of `epoch`.

        :param row_seen_s: when its row was first seen; silence begins not earlier.
        """
        now_s = self._clock.now()
        ages_s = [self.beat_age_s(epoch), now_s - row_seen_s]
        for report in self._peers.live_reports():
            if report.epoch == epoch:
                at_s = self._peers.report_time_s(report.node)
                ages_s.append(report.beat_age_s + (0.0 if at_s is None else now_s - at_s))
        return min(ages_s)

    def reports_old_proof(self, epoch: int, limit_s: float) -> bool:
        """Tell whether the leader itself says that its proof is older than `limit_s`."""
        if self._beat is None or self._beat.epoch != epoch:
            return False
        return self._beat.proof_age_s > limit_s

    def hears_peers(self) -> bool:
        """Tell whether any peer is heard."""
        return any(True for _ in self._peers.live_reports())

    def announced_hold_s(self, epoch: int) -> float:
        """Return the longest hold of which the leader of `epoch` told in its newest beat.

        Minus infinity: it was not heard.
        """
        if self._beat is None or self._beat.epoch != epoch:
            return float("-inf")
        return self._beat.hold_s

    def announced_until_s(self, epoch: int) -> float:
        """Return when that hold has ended; minus infinity: the leader was not heard."""
        return self._beat_s + self.announced_hold_s(epoch)

    def announced_earlier_until_s(self, epoch: int) -> float:
        """Return when holds have ended of which the leader of `epoch` told as those of leaders
        before it; minus infinity: it was not heard."""
        if self._beat is None or self._beat.epoch != epoch:
            return float("-inf")
        return self._beat_s + self._beat.earlier_hold_s

    def announced_pending(self, epoch: int) -> tuple[PendingRange, ...] | None:
        """Return the ranges that the leader of `epoch` had yet to grant; None: it was not heard."""
        if self._beat is None or self._beat.epoch != epoch:
            return None
        return self._beat.pending

    def announced_silent_servers(self, epoch: int) -> tuple[str, ...]:
        """Return the servers that left orders of the leader of `epoch` unanswered, as it told."""
        if self._beat is None or self._beat.epoch != epoch:
            return ()
        return self._beat.silent_servers

    def announced_proof_time_s(self, epoch: int) -> float:
        """Return the time of the newest proof of which the leader of `epoch` told.

        Minus infinity: it was not heard.
        """
        if self._beat is None or self._beat.epoch != epoch:
            return float("-inf")
        return self._beat_s - self._beat.proof_age_s

    def has_stopped_acting(self, node: str, boot: str, epoch: int) -> bool:
        """Tell whether the leader of `epoch` is known to act no longer as such.

        It says itself that it follows a later epoch, or its node runs under another boot.
        """
        listed_boot = self._directory.boot_of(node)
        if listed_boot is not None and listed_boot != boot:
            return True
        return self._epochs.get((node, boot), 0) > epoch or self._is_followed(node, boot)

    def _is_followed(self, node: str, boot: str) -> bool:
        """Tell whether another life of a node is heard and this one has not been for a while.

        A report that was handed on may come late: by itself it does not tell which life is newer.
        """
        own_s = self._heard_s.get((node, boot))
        if own_s is None:
            return False
        lives = [life for life in self._heard_s if life[0] == node and life[1] != boot]
        return any(self._heard_s[life] - own_s > LATE_REPORT_S for life in lives)
