"""An unconfirmed server crash during a request."""

from dataclasses import dataclass

from indigoworks.quarantine.request_mark import RequestMark


@dataclass(frozen=True, slots=True)
class Doubt:
    """A connection broke during an attempt of a request, and it is not yet known whether its server
    crashed.

    :ivar number: random 64-bit id, unique among the doubts of all gateways.
    :ivar mark: mark of the request, ignoring the caller.
    :ivar is_lifted: the server turned out to be alive.
    """

    number: int
    mark: RequestMark
    is_lifted: bool = False
