"""The parts of a gateway that replicate open grants, as leader, witness and successor."""

from collections.abc import Callable, Iterable

from indigoworks.common.address import Address
from indigoworks.common.clock import Clock
from indigoworks.exchange.open_grants import OpenGrants
from indigoworks.exchange.peer_directory import PeerDirectory
from indigoworks.exchange.peer_view import PeerView
from indigoworks.exchange.process_id import ProcessId
from indigoworks.exchange.witness_codec import decode_witness_datagram, encode_witness_datagram
from indigoworks.exchange.witness_datagram import (
    Acknowledgement,
    FenceReply,
    FenceRequest,
    WitnessDatagram,
    WitnessMessage,
)
from indigoworks.ownership.grant_replicator import GrantReplicator
from indigoworks.ownership.grant_witness import GrantWitness
from indigoworks.ownership.hold_bounds import HoldBounds
from indigoworks.ownership.hold_policy import HoldPolicy
from indigoworks.ownership.leader_replication import WitnessReplication
from indigoworks.ownership.leadership import Leadership
from indigoworks.ownership.predecessor_fence import PredecessorFence
from indigoworks.ownership.server_reach import ServerReach
from indigoworks.ownership.witness_selector import WitnessSelector
from indigoworks.ownership.witness_set import WitnessSet
from indigoworks.ownership.witness_supervisor import WitnessSupervisor


class WitnessSubsystem:
    """Builds these parts, and sends and receives their datagrams.

    :param owners: returns the servers that own ranges.
    :param is_gone: returns whether the process of a server has ended.
    :ivar send_datagram: sends a datagram to the exchange address of a peer.
    :ivar replicator: admits servers to which this process, as leader, sends grants.
    :ivar replication: runs during each epoch as leader.
    """

    def __init__(
        self,
        own: ProcessId,
        zone: str,
        leadership: Leadership,
        bounds: HoldBounds,
        reach: ServerReach,
        policy: HoldPolicy,
        peers: PeerView,
        directory: PeerDirectory,
        owners: Callable[[], Iterable[str]],
        is_gone: Callable[[str], bool],
        clock: Clock,
    ) -> None:
        self._own = own
        self._directory = directory
        self._witness = GrantWitness(clock)
        self.send_datagram: Callable[[bytes, Address], None] = _send_nothing
        witnesses = WitnessSet(clock)
        selector = WitnessSelector(zone, peers, directory, leadership.liveness)
        leadership.select_witnesses = selector.select
        self.replicator = GrantReplicator(
            leadership, bounds, reach, policy, witnesses, self._send, owners, is_gone, clock
        )
        supervisor = WitnessSupervisor(leadership, self.replicator, witnesses, selector, clock)
        self._fence = PredecessorFence(own, self._witness, self._send)
        self.replication = WitnessReplication(self.replicator, supervisor, self._fence, clock)

    def handle_datagram(self, data: bytes) -> None:
        """Handle a datagram of a peer."""
        datagram = decode_witness_datagram(data)
        if datagram is None or datagram.target_boot != self._own.boot:
            return
        sender, content = datagram.sender, datagram.content
        if isinstance(content, OpenGrants):
            if self._witness.record(content):
                self._send(sender, Acknowledgement(content.epoch, content.number))
        elif isinstance(content, Acknowledgement):
            self.replicator.record_acknowledgement(sender, content)
        elif isinstance(content, FenceRequest):
            grants = self._witness.fence(content.epoch)
            if grants is not None or self._witness.remembers(content.epoch):
                self._send(sender, FenceReply(content.epoch, grants))
        else:
            self._fence.record_reply(sender, content)

    def _send(self, target: ProcessId, content: WitnessMessage) -> None:
        peer = self._directory.get(target.node)
        if peer is not None:
            datagram = WitnessDatagram(self._own, target.boot, content)
            self.send_datagram(encode_witness_datagram(datagram), peer.address)


def _send_nothing(_datagram: bytes, _address: Address) -> None:
    """Default of a callback until the gateway sets it."""
