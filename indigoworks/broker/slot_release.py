"""Release of a slot, sent to its broker."""

from dataclasses import dataclass

from indigoworks.common.attempt_verdict import AttemptVerdict
from indigoworks.servers.self_reported_load import SelfReportedLoad


@dataclass(frozen=True, slots=True)
class SlotRelease:
    """Releases the slot or lock of the request `number`, or withdraws that request.

    :ivar is_served: the server ran the caller's request and answered.
    :ivar server_load: load that the server reported with its response, or None.
    :ivar has_crashed_server: the server crashed while it ran the request.
    :ivar is_unreached: connecting to the server failed.
    :ivar verdict: what the attempt says against the server; a good one is told by `is_served`.
    """

    number: int
    is_served: bool = False
    server_load: SelfReportedLoad | None = None
    is_unreached: bool = False
    has_crashed_server: bool = False
    verdict: AttemptVerdict = AttemptVerdict.NEUTRAL
