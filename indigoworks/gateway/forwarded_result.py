"""Result of a request that a peer forwarded."""

from dataclasses import dataclass

from indigoworks.gateway.client_response import ClientResponse


@dataclass(frozen=True, slots=True)
class ForwardedResult:
    """The final response, and the servers that were chosen here, in order.

    :ivar may_repeat: there is none yet: the peer decides whether the request is repeated.
    """

    response: ClientResponse
    tried: tuple[str, ...] = ()
    may_repeat: bool = False
