"""Kinds of events in a soak."""

from enum import Enum


class EventKind(Enum):
    """What is done to the processes, or around them."""

    HANG_UP = "SIGHUP of all gateways, with changed or broken settings files"
    CONFIGURE = "a configuration"
    STOP = "SIGTERM of a gateway, then a new process"
    KILL = "SIGKILL of a gateway, then a new process"
    STORE = "trouble of the store"
    LEAVE = "a server leaves and another one comes"
