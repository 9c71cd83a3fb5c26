"""State of a caller's request while the router processes it."""

from dataclasses import dataclass, field

from indigoworks.common.ring.key_hash import key_hash
from indigoworks.router.caller_request import CallerRequest
from indigoworks.router.errors import RouterError
from indigoworks.settings.resolved_settings import ResolvedSettings


@dataclass
class RoutedRequest:
    """A request with its settings and the state of its attempts.

    :ivar settings: settings in force when it was received.
    :ivar deadline_s: the caller's deadline, as a reading of the router's clock.
    :ivar is_repeatable: the request may safely run more than once.
    :ivar retries: number of retries charged to the retry budget.
    :ivar reroutes: number of times that it was rerouted after its route had changed.
    :ivar waited_s: total time spent waiting for a changed route.
    :ivar first_unknown_outcome: first error after which the request may have run; if set, the
        outcome is never "not run".
    :ivar position: hash of the key, its position on the ring.
    """

    caller: CallerRequest
    settings: ResolvedSettings
    deadline_s: float
    is_repeatable: bool
    retries: int = 0
    reroutes: int = 0
    waited_s: float = 0.0
    first_unknown_outcome: RouterError | None = None
    position: int = field(init=False)

    def __post_init__(self) -> None:
        self.position = key_hash(self.caller.key)
