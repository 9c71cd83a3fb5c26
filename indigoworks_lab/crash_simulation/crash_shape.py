"""What a crash simulation consists of, and how its servers behave."""

from dataclasses import dataclass


@dataclass(frozen=True)
class CrashShape:
    """Sizes and times; seconds, where nothing else is said.

    :ivar services: names of services, and whether their servers own keys.
    :ivar work_s: time of a request that does no harm.
    :ivar crash_s: time from the begin of a harmful request to the end of its server.
    :ivar is_dark: a server that ends says nothing more; otherwise its connections are reset.
    :ivar down_s: from the end of a server to its next life.
    :ivar lapse_s: from the end of a server to the end of its entry.
    :ivar move_s: from the end of a server to the moment at which its keys have another owner.
    :ivar listed_s: from the start of a life to its entry in the list.
    :ivar keeps_id: a server that starts again has the id that it had.
    :ivar has_brokers: gateways reach each other's brokers, as they do where nothing is cut;
        otherwise each decides by its own knowledge.
    """

    gateways: int = 8
    servers: int = 14
    services: tuple[tuple[str, bool], ...] = (("catalogue", True), ("scheduler", False))
    slots: int = 2
    work_s: float = 0.1
    crash_s: float = 0.03
    is_dark: bool = False
    down_s: float = 3.4
    lapse_s: float = 3.9
    move_s: float = 1.5
    listed_s: float = 0.0
    keeps_id: bool = False
    has_brokers: bool = True

    def is_keyed(self, service: str) -> bool:
        """Tell whether the servers of a service own keys."""
        return dict(self.services)[service]
