"""Selects the witnesses of a leader."""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping

from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.exchange.peer_directory import PeerDirectory
from indigoworks.exchange.peer_view import PeerView
from indigoworks.exchange.process_id import ProcessId
from indigoworks.ownership.leader_liveness import LeaderLiveness

WITNESS_COUNT = 3
"""With three, the leader goes on while one of them is lost, and so does its successor."""


class WitnessSelector:
    """Selects live peers, in zones other than the leader's and each other's if there are any.

    The loss of the leader's zone then leaves all witnesses.

    :param zone: zone of this process.
    """

    def __init__(
        self, zone: str, peers: PeerView, directory: PeerDirectory, liveness: LeaderLiveness
    ) -> None:
        self._zone = zone
        self._liveness = liveness
        self._peers = peers
        self._directory = directory

    def select(
        self, current: Collection[ProcessId] = (), excluded: Collection[ProcessId] = ()
    ) -> tuple[ProcessId, ...]:
        """Return the witnesses to have; `current` ones are preferred among equals."""
        candidates = [
            each for each in self._live_peers() if ProcessId(each.node, each.boot) not in excluded
        ]
        selected: list[PeerAddress] = []
        while candidates and len(selected) < WITNESS_COUNT:
            zones = Counter(each.zone for each in selected)
            best = min(candidates, key=lambda each: self._preference(each, zones, current))
            candidates.remove(best)
            selected.append(best)
        return tuple(sorted(ProcessId(each.node, each.boot) for each in selected))

    def has_ended(self, process: ProcessId) -> bool:
        """Return whether another run of the process's node has replaced it.

        The node's row does not tell: that of an earlier run may be written late.
        """
        return self._liveness.is_replaced(process.node, process.boot)

    def _live_peers(self) -> Iterable[PeerAddress]:
        for report in self._peers.live_reports():
            peer = self._directory.get(report.node)
            if peer is not None and peer.boot == report.boot:
                yield peer

    def _preference(
        self, peer: PeerAddress, zones: Mapping[str, int], current: Collection[ProcessId]
    ) -> tuple[bool, int, bool, tuple[float, str]]:
        return (
            peer.zone == self._zone,
            zones[peer.zone],
            ProcessId(peer.node, peer.boot) not in current,
            peer.rank(),
        )
