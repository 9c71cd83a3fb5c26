"""Result of a request that a peer forwarded."""

from dataclasses import dataclass

from indigoworks.gateway.client_response import ClientResponse


@dataclass(frozen=True, slots=True)
class ForwardedResult:
    """The final response, and the servers that were chosen here, in order."""

    response: ClientResponse
    tried: tuple[str, ...] = ()
