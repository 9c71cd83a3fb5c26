"""Kinds of events in a soak of servers that hold keys."""

from enum import Enum


class KeyEventKind(Enum):
    """What is done to the processes, their links, the store or the machine."""

    PAUSE_SERVER = "a server's process is stopped for some seconds"
    LONG_PAUSE_SERVER = "a server's process is stopped for 14 to 30 s"
    PAUSE_LEADER = "the leading gateway's process is stopped"
    PAUSE_GATEWAY = "any gateway's process is stopped"
    STOP_LEADERS = "SIGTERM of the leading gateways, one after the other"
    KILL_LEADERS = "SIGKILL of the leading gateways, one after the other"
    KILL_SERVER = "SIGKILL of a server; another one at its address"
    RESTART_SERVER = "SIGKILL of a server; a new process under its id"
    LEAVE_SERVER = "SIGTERM of a server, which leaves; another one comes"
    STORE = "the store is slow, down, or loses answers"
    STORE_CLOCK = "the store starts again; its clock jumps, its era stays"
    STORE_RETURN = "the store comes back from a copy"
    SERVER_LINK = "the link of a gateway and a server is cut or silent"
    SERVER_LINKS = "all links of a server are cut or silent"
    STORE_LINK = "the link of a gateway and the store is cut or silent"
    LEADER_LINKS = "all links of the leading gateway are cut or silent"
    GATEWAYS_WITHOUT_SERVERS = "some gateways lose all servers; store, callers and peers reach them"
    LATE_GRANT_AT_KILL = "SIGKILL of the leader with a grant under way, which is applied late"
    LATE_GRANT_AT_STOP = "SIGTERM of the leader with a grant under way, which is applied late"
    BUSY = "the machine is busy"
    FOREIGN_ENTRY = "another program writes an entry at a server's address, or under its id"
    SILENT_CONNECTIONS = (
        "open connections to the store, at times to servers too, go silent in series"
    )
    HOT = "other keys are busy"
