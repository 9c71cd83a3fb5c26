"""A request on its way from the router that received it to a back end."""

from dataclasses import dataclass

from indigoworks.backend.owned_request import OwnedRequest


@dataclass(frozen=True)
class DispatchRequest:
    """A request for one run of one server.

    :ivar owned: what the server gets; its `remaining_s` is set anew when it is sent.
    :ivar server_name: the owner; `owned.server_incarnation` says which run of it.
    :ivar deadline_s: end of the caller's patience, on the clock of this process.
    :ivar is_repeatable: a second run does no harm.
    :ivar generation, settings_version: of the view that the request was routed by.
    """

    owned: OwnedRequest
    server_name: str
    deadline_s: float
    is_repeatable: bool
    generation: int
    settings_version: int
