"""One event of the plan of a soak of servers that hold keys."""

from dataclasses import dataclass

from indigoworks_lab.gateway_soak.key_event_kind import KeyEventKind


@dataclass(frozen=True)
class KeyPlanEvent:
    """What is done `at_s` seconds after the start of the plan.

    :ivar duration_s: of a pause, a trouble, a cut or of work; of leaders: between two of them.
    :ivar draws: numbers from 0 to 1 that choose gateway, server and mode when it begins.
    """

    at_s: float
    kind: KeyEventKind
    duration_s: float
    draws: tuple[float, float, float]
