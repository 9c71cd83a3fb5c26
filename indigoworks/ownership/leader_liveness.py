"""Liveness of leaders, from the reports that gateways exchange."""

from indigoworks.common.clock import Clock
from indigoworks.exchange.leader_beat import LeaderBeat, PendingRange
from indigoworks.exchange.peer_directory import PeerDirectory
from indigoworks.exchange.peer_report import PeerReport
from indigoworks.exchange.peer_view import PeerView

LATE_REPORT_S = 1.2
"""Longest time from the sending of a report to its arrival through hubs, which pass it on."""

_ProcessId = tuple[str, str]
"""Node and boot of a process: one run of a node."""


class LeaderLiveness:
    """Keeps the newest heartbeat (beat) of a leader, and what peers report of it."""

    def __init__(self, peers: PeerView, directory: PeerDirectory, clock: Clock) -> None:
        self._peers = peers
        self._directory = directory
        self._clock = clock
        self._beat: LeaderBeat | None = None
        self._beat_s = float("-inf")
        self._epochs: dict[_ProcessId, int] = {}
        self._heard_s: dict[_ProcessId, float] = {}

    def record_report(self, report: PeerReport) -> None:
        """Record a report of a peer."""
        process = (report.node, report.boot)
        self._epochs[process] = max(self._epochs.get(process, 0), report.epoch)
        self._heard_s[process] = self._clock.now()
        beat = report.leader
        if beat is not None and (self._beat is None or beat.epoch >= self._beat.epoch):
            self._beat = beat
            self._beat_s = self._clock.now()

    def heard_later_epoch(self, epoch: int) -> bool:
        """Return whether a beat of a later epoch was received."""
        return self._beat is not None and self._beat.epoch > epoch

    def beat_age_s(self, epoch: int) -> float:
        """Return the age of the newest beat of `epoch` received here; infinity: there is none."""
        if self._beat is None or self._beat.epoch != epoch:
            return float("inf")
        return self._clock.now() - self._beat_s

    def proof_age_s(self, epoch: int) -> float:
        """Return the age of the proof that the leader of `epoch` reported; infinity: none."""
        if self._beat is None or self._beat.epoch != epoch:
            return float("inf")
        return self._beat.proof_age_s + self.beat_age_s(epoch)

    def silence_s(self, epoch: int, row_seen_s: float) -> float:
        """Return how long neither this process nor a live peer has heard the leader of `epoch`.

        :param row_seen_s: when its row was first seen; the silence begins no earlier.
        """
        now_s = self._clock.now()
        ages_s = [self.beat_age_s(epoch), now_s - row_seen_s]
        for report in self._peers.live_reports():
            if report.epoch == epoch:
                at_s = self._peers.report_time_s(report.node)
                ages_s.append(report.beat_age_s + (0.0 if at_s is None else now_s - at_s))
        return min(ages_s)

    def reports_old_proof(self, epoch: int, limit_s: float) -> bool:
        """Return whether the leader itself reports a proof that is older than `limit_s`."""
        if self._beat is None or self._beat.epoch != epoch:
            return False
        return self._beat.proof_age_s > limit_s

    def hears_peers(self) -> bool:
        """Return whether any peer is live."""
        return any(True for _ in self._peers.live_reports())

    def announced_hold_s(self, epoch: int) -> float:
        """Return how long grants may hold after the newest beat of `epoch`, as it announced.

        Minus infinity: no beat of the epoch is known.
        """
        if self._beat is None or self._beat.epoch != epoch:
            return float("-inf")
        return self._beat.hold_s

    def announced_until_s(self, epoch: int) -> float:
        """Return when these holds have ended; minus infinity: no beat of the epoch is known."""
        return self._beat_s + self.announced_hold_s(epoch)

    def announced_earlier_until_s(self, epoch: int) -> float:
        """Return when holds granted by leaders before `epoch` have ended, as its leader announced.

        Minus infinity: no beat of the epoch is known.
        """
        if self._beat is None or self._beat.epoch != epoch:
            return float("-inf")
        return self._beat_s + self._beat.earlier_hold_s

    def announced_pending(self, epoch: int) -> tuple[PendingRange, ...] | None:
        """Return the ranges that the leader of `epoch` had yet to grant; None: no beat is known."""
        if self._beat is None or self._beat.epoch != epoch:
            return None
        return self._beat.pending

    def announced_silent_servers(self, epoch: int) -> tuple[str, ...]:
        """Return the servers that did not answer the leader of `epoch`, as it announced."""
        if self._beat is None or self._beat.epoch != epoch:
            return ()
        return self._beat.silent_servers

    def announced_proof_time_s(self, epoch: int) -> float:
        """Return the time of the newest proof that the leader of `epoch` announced.

        Minus infinity: no beat of the epoch is known.
        """
        if self._beat is None or self._beat.epoch != epoch:
            return float("-inf")
        return self._beat_s - self._beat.proof_age_s

    def has_stopped_acting(self, node: str, boot: str, epoch: int) -> bool:
        """Return whether the leader of `epoch` is known to have stopped acting as leader.

        Either it reports a later epoch itself, or its node runs under another boot.
        """
        listed_boot = self._directory.boot_of(node)
        if listed_boot is not None and listed_boot != boot:
            return True
        return self._epochs.get((node, boot), 0) > epoch or self.is_replaced(node, boot)

    def is_replaced(self, node: str, boot: str) -> bool:
        """Return whether another run of the node is heard and this one has not been for a while.

        A report through a hub may be delayed: on its own it does not show which run is newer.
        """
        own_s = self._heard_s.get((node, boot))
        if own_s is None:
            return False
        others = [process for process in self._heard_s if process[0] == node and process[1] != boot]
        return any(self._heard_s[process] - own_s > LATE_REPORT_S for process in others)
