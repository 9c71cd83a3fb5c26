"""A routed request, as the receiving router hands it to the server's dispatcher."""

from dataclasses import dataclass

from indigoworks.backend.owned_request import OwnedRequest


@dataclass(frozen=True)
class DispatchRequest:
    """A request addressed to one process of one server.

    :ivar owned: the request sent to the server; `remaining_s` is updated when it is sent.
    :ivar server_name: the owner; `owned.server_incarnation` identifies its process.
    :ivar deadline_s: the caller's deadline, as a reading of this process's clock.
    :ivar is_repeatable: the request may safely run more than once.
    :ivar generation, settings_version: of the view used to route the request.
    """

    owned: OwnedRequest
    server_name: str
    deadline_s: float
    is_repeatable: bool
    generation: int
    settings_version: int
