"""Selects the witnesses of a leader."""

from collections.abc import Collection, Iterable

from indigoworks.exchange.peer_address import PeerAddress
from indigoworks.exchange.peer_directory import PeerDirectory
from indigoworks.exchange.peer_view import PeerView
from indigoworks.exchange.process_id import ProcessId

WITNESS_COUNT = 2
"""A successor needs one of them, and the leader needs the acknowledgement of each."""


class WitnessSelector:
    """Selects live peers, in zones other than the leader's and each other's if there are any.

    The loss of the leader's zone then leaves all witnesses.

    :param zone: zone of this process.
    """

    def __init__(self, zone: str, peers: PeerView, directory: PeerDirectory) -> None:
        self._zone = zone
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
            zones = {each.zone for each in selected}
            best = min(candidates, key=lambda each: self._preference(each, zones, current))
            candidates.remove(best)
            selected.append(best)
        return tuple(sorted(ProcessId(each.node, each.boot) for each in selected))

    def has_ended(self, process: ProcessId) -> bool:
        """Return whether another run of the process's node has replaced it."""
        boot = self._directory.boot_of(process.node)
        return boot is not None and boot != process.boot

    def _live_peers(self) -> Iterable[PeerAddress]:
        for report in self._peers.live_reports():
            peer = self._directory.get(report.node)
            if peer is not None and peer.boot == report.boot:
                yield peer

    def _preference(
        self, peer: PeerAddress, zones: Collection[str], current: Collection[ProcessId]
    ) -> tuple[bool, bool, bool, tuple[float, str]]:
        return (
            peer.zone == self._zone,
            peer.zone in zones,
            ProcessId(peer.node, peer.boot) not in current,
            peer.rank(),
        )
