"""Faults beside a return of the store from a copy, by what happens."""

from indigoworks_lab.control_simulation.drawn_fault import DrawnFault
from indigoworks_lab.control_simulation.fault_kind import FaultKind

RETURN = FaultKind.STORE_RETURNS_FROM_COPY

_Timed = tuple[FaultKind, float, float]
"""Kind, begin after the moment at which the store goes away, and duration, in seconds."""

_CRASH: _Timed = (FaultKind.SERVER_CRASHED, -0.8, 0.0)

_BESIDE: dict[str, tuple[_Timed, ...]] = {
    "nothing else happens": (),
    "a server crashes in the span that is lost": ((FaultKind.SERVER_CRASHED, -0.6, 0.0),),
    "a server leaves in the span that is lost": ((FaultKind.SERVER_DRAINING, -0.4, 0.0),),
    "a server is replaced at its address in that span": ((FaultKind.SERVER_REPLACED, -0.8, 0.3),),
    "the leader is killed in the span that is lost": ((FaultKind.LEADER_KILLED, -0.9, 9.0),),
    "the leader stops in the span that is lost": ((FaultKind.LEADER_STOPPED, -0.9, 9.0),),
    "the leader is frozen while the store comes back": ((FaultKind.LEADER_FROZEN, -0.2, 6.0),),
    "the leader is cut off from the store as it comes back": (
        (FaultKind.LEADER_CUT_FROM_STORE, 0.0, 8.0),
    ),
    "all gateways are killed in the span that is lost": ((FaultKind.ALL_NODES_KILLED, -0.6, 0.5),),
    "all gateways start while the store comes back": ((FaultKind.ALL_NODES_KILLED, 0.2, 0.6),),
    "writes of the span that is lost are made late": (
        (FaultKind.STORE_WRITES_LATE, -0.9, 0.9),
        _CRASH,
    ),
    "orders of the span that is lost are carried out late": (
        (FaultKind.ORDERS_LATE, -0.9, 2.0),
        _CRASH,
    ),
    "it comes back once more soon after": ((RETURN, 0.5, 4.0),),
}


def faults_beside_return(what: str, away_s: float) -> tuple[DrawnFault, ...]:
    """Return the faults of what happens beside a return of a store that goes away at `away_s`."""
    return tuple(
        DrawnFault(kind, away_s + begin_s, duration_s)
        for kind, begin_s, duration_s in _BESIDE[what]
    )
