"""Faults that a run may meet."""

from enum import Enum


class FaultKind(Enum):
    """One kind of fault each."""

    STORE_SILENT = "store silent"
    STORE_REFUSING = "store refusing"
    STORE_SLOW = "store slow"
    STORE_LOSES_ANSWERS = "store loses answers"
    STORE_WRITES_LATE = "store writes late"
    STORE_FORGETS_HISTORY = "store forgets its history"
    NODE_CUT_FROM_STORE = "node cut from store"
    LEADER_CUT_FROM_STORE = "leader cut from store"
    NODE_CUT_FROM_PEERS = "node cut from peers"
    LEADER_CUT_FROM_PEERS = "leader cut from peers"
    NODE_KILLED = "node killed"
    LEADER_KILLED = "leader killed"
    LEADER_STOPPED = "leader stopped"
    NODE_FROZEN = "node frozen"
    LEADER_FROZEN = "leader frozen"
    ALL_NODES_KILLED = "all nodes killed"
    DATAGRAMS_LOST = "datagrams lost"
    ORDERS_LATE = "orders late"
    ORDERS_UNANSWERED = "orders unanswered"
    SERVER_CRASHED = "server crashed"
    SERVER_REPLACED = "server replaced at its address"
    SERVER_DARK = "server dark"
    SERVER_CUT_FROM_NODE = "server cut from a node"
    SERVER_CUT_FROM_LEADER = "server cut from the leader"
    SERVER_CUT_FROM_STORE = "server cut from the store"
    SERVER_DRAINING = "server draining"
    SERVER_VANISHED = "server vanished from the list"
    SERVER_ADDED = "server added"
    MACHINES_SLOW = "machines slow"
    ORDERS_ALL_LATE = "every order late"
    CONFIGURATION_CHANGES = "configuration changes, older ones are written again"
    STORE_RETURNS_FROM_COPY = "store comes back from a copy"
    """The copy is made when the fault begins; its duration is the age of the copy."""
    STORE_WRITES_AFTER_RETURN = "store makes writes only after it came back from a copy"
    STORE_CLOCK_JUMPS_FORWARD = "store's steady clock jumps forward"
    STORE_CLOCK_JUMPS_BACKWARD = "store's steady clock jumps backward"
    NODE_CLOCK_STOPS = "node that does not lead stands still, and its clock"
    LEADER_SUSPENDED = "leader's machine suspended"
    SERVER_PAUSED = "server process paused, its kernel accepts"
    SERVER_MISDIRECTED = "server answers 421 to orders and names no other"
    LEADER_FROZEN_BEFORE_BYTES = "leader frozen between connection and bytes"
    LEADER_LATE_BEFORE_BYTES = "leader's loop late between connection and bytes"
    LEADERS_LOST_IN_CHAIN = "leaders lost one after the other"
    NODES_CUT_FROM_SERVERS = "some nodes cut from all servers"
    LEADER_CUT_FROM_SERVERS = "leader, perhaps others too, cut from all servers"


PATH_KINDS = (FaultKind.NODES_CUT_FROM_SERVERS, FaultKind.LEADER_CUT_FROM_SERVERS)
"""Faults of nodes that lose their path to servers, while the store and peers reach them."""

MACHINE_KINDS = (
    FaultKind.STORE_CLOCK_JUMPS_FORWARD,
    FaultKind.STORE_CLOCK_JUMPS_BACKWARD,
    FaultKind.NODE_CLOCK_STOPS,
    FaultKind.LEADER_SUSPENDED,
    FaultKind.SERVER_PAUSED,
    FaultKind.SERVER_MISDIRECTED,
    FaultKind.LEADER_FROZEN_BEFORE_BYTES,
    FaultKind.LEADER_LATE_BEFORE_BYTES,
    FaultKind.LEADERS_LOST_IN_CHAIN,
)
"""Faults of machines that do not run evenly."""

_NOT_DRAWN = frozenset(
    {
        *MACHINE_KINDS,
        *PATH_KINDS,
        FaultKind.ORDERS_ALL_LATE,
        FaultKind.CONFIGURATION_CHANGES,
        FaultKind.STORE_RETURNS_FROM_COPY,
        FaultKind.STORE_WRITES_AFTER_RETURN,
    }
)

DRAWN_KINDS = tuple(each for each in FaultKind if each not in _NOT_DRAWN)
"""Kinds that a seed draws; a further kind here changes the plans of all seeds."""
