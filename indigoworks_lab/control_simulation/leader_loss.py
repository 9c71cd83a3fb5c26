"""How leaders are lost while a grant is in flight."""

from dataclasses import dataclass

from indigoworks_lab.control_simulation.control_plan import HOLD_MAX_S
from indigoworks_lab.control_simulation.node_fault_actions import CALM_LOSS


@dataclass(frozen=True, slots=True)
class LeaderLoss:
    """The loss of a leader and of others with it.

    :ivar after_s: from the sending of the grant to the loss.
    :ivar late_s: from the sending of the grant until its server takes it.
    :ivar away_s: until the lost node starts again.
    :ivar is_resigned: leaders give up their leadership, and end a while later.
    :ivar chain_s: the first successor is lost as well, so long after its first order to the server;
        None: it is not.
    :ivar peers_lost: peers that are killed together with the leader.
    :ivar has_trouble: the store refuses to work before, until holds are the longest.
    :ivar datagram_loss: share of datagrams that are lost meanwhile.
    :ivar hold_max_s: longest hold that servers accept.
    """

    after_s: float
    late_s: float
    away_s: float
    is_resigned: bool = False
    chain_s: float | None = None
    peers_lost: int = 0
    has_trouble: bool = False
    datagram_loss: float = CALM_LOSS
    hold_max_s: float = HOLD_MAX_S
