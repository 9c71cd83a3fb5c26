"""HTTP headers between callers, gateway and servers."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names that a deployment gives to the headers which the gateway reads or sets.

    :ivar request_id: the caller's id of one try; it goes to the server and comes back.
    :ivar deadline_ms: milliseconds that are left.
    :ivar server_id: the server that is meant; another one answers that it did not run it.
    :ivar answering_server_id: the server that answered.
    :ivar not_run: the server states that it did not run the request.
    :ivar key: number of the key.
    :ivar handover: what a release hands to the next owner.
    :ivar signature: the server's mark on its own answers.
    :ivar load: what a server says of its load; empty: nothing.
    """

    request_id: str
    deadline_ms: str
    server_id: str
    answering_server_id: str
    not_run: str
    key: str
    handover: str
    signature: str
    load: str = ""
