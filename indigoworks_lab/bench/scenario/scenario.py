"""Load and events of one run."""

from dataclasses import dataclass

from indigoworks_lab.bench.scenario.load_stream import LoadStream
from indigoworks_lab.bench.scenario.server_event import ServerEvent

WARM_UP_S = 6.0
"""Load before the measured part: servers start cold."""

MEASURED_S = 20.0
END_S = WARM_UP_S + MEASURED_S


@dataclass(frozen=True)
class Scenario:
    """What one run does.

    :ivar extra: streams beside the calm load.
    :ivar needs_calm_run: figures compare with a calm run of the same seed.
    """

    name: str
    extra: tuple[LoadStream, ...] = ()
    events: tuple[ServerEvent, ...] = ()
    needs_calm_run: bool = False
