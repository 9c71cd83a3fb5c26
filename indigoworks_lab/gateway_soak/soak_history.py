"""Everything that a soak recorded."""

from collections import Counter
from dataclasses import dataclass, field

from indigoworks_lab.crash_simulation.machine_wishes import LimitChange
from indigoworks_lab.gateway_soak.process_life import ProcessLife
from indigoworks_lab.gateway_soak.server_run import ServerRun
from indigoworks_lab.gateway_soak.server_wish import ServerArrival, ServerWish
from indigoworks_lab.gateway_soak.soak_request import SoakRequest
from indigoworks_lab.gateway_soak.time_span import TimeSpan


@dataclass
class SoakHistory:
    """Records in the order in which they were made.

    :ivar acknowledged_s: by version, when the store acknowledged a configuration, in seconds.
    :ivar troubles: when the store was slow, down or lost answers.
    :ivar returns: from when the store went away until what it lost with its return from a copy was
        written again; the versions of the configuration count as acknowledged then.
    :ivar limits: by server, every change of the limit that it names.
    :ivar is_timed: whether bounds of time are judged; not where the machine may stand still.
    """

    requests: list[SoakRequest] = field(default_factory=list)
    runs: list[ServerRun] = field(default_factory=list)
    lives: list[ProcessLife] = field(default_factory=list)
    acknowledged_s: dict[int, float] = field(default_factory=dict)
    troubles: list[TimeSpan] = field(default_factory=list)
    returns: list[TimeSpan] = field(default_factory=list)
    is_timed: bool = True
    arrivals: list[ServerArrival] = field(default_factory=list)
    wishes: list[ServerWish] = field(default_factory=list)
    limits: dict[str, list[LimitChange]] = field(default_factory=dict)

    def life(self, request: SoakRequest) -> ProcessLife:
        """Return the process to which a request was sent."""
        names = (request.gateway, request.life)
        return next(each for each in self.lives if (each.gateway, each.number) == names)

    def run_counts(self) -> Counter[str]:
        """Return how often each request ran."""
        return Counter(each.request_id for each in self.runs)
