"""A sign that a server may have ended under a request."""

from dataclasses import dataclass

from indigoworks.quarantine.request_mark import RequestMark


@dataclass(frozen=True, slots=True)
class Doubt:
    """A connection broke off under a try of a request; nobody has judged yet whether its server
    ended.

    :ivar number: random, of 64 bits: names this sign among those of all gateways.
    :ivar mark: of the request, whoever sends it.
    :ivar is_lifted: the server turned out to live.
    """

    number: int
    mark: RequestMark
    is_lifted: bool = False
