"""One event of a soak's plan."""

from dataclasses import dataclass

from indigoworks_lab.gateway_soak.event_kind import EventKind


@dataclass(frozen=True)
class SoakEvent:
    """What is done `at_s` seconds after the start of the plan.

    :ivar target: number of the gateway or server, from 0.
    :ivar duration_s: of trouble.
    :ivar mode: of trouble, or of the settings file.
    :ivar filler_routes: routes of a configuration that nobody asks for.
    :ivar idle_timeout_s: the limit that a configuration sets.
    :ivar max_body_bytes: the limit that a configuration sets.
    """

    at_s: float
    kind: EventKind
    target: int = 0
    duration_s: float = 0.0
    mode: str = ""
    filler_routes: int = 0
    idle_timeout_s: float = 0.0
    max_body_bytes: int = 0
