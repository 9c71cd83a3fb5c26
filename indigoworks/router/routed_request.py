"""A caller's request while the router works on it."""

from dataclasses import dataclass, field

from indigoworks.common.ring.key_hash import key_hash
from indigoworks.router.caller_request import CallerRequest
from indigoworks.router.errors import RouterError
from indigoworks.settings.resolved_settings import ResolvedSettings


@dataclass
class RoutedRequest:
    """A request with what was found out about it so far.

    :ivar settings: settings in force when it came in.
    :ivar deadline_s: end of the caller's patience, on the router's clock.
    :ivar is_repeatable: a second run does no harm.
    :ivar repeats: times that it was sent again at the expense of the retry budget.
    :ivar reroutes: times that it was routed anew after a change of the view.
    :ivar waited_s: time spent waiting for a newer view.
    :ivar lost: the first lost answer; after it the request can never count as not run.
    """

    caller: CallerRequest
    settings: ResolvedSettings
    deadline_s: float
    is_repeatable: bool
    retries: int = 0
    reroutes: int = 0
    waited_s: float = 0.0
    lost_answer: RouterError | None = None
    place: int = field(init=False)

    def __post_init__(self) -> None:
        self.place = key_hash(self.caller.key)
