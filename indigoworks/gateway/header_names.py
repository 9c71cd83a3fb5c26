"""Names of the HTTP headers between callers, gateway and servers."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of the headers that the gateway reads or sets, as the deployment defines them.

    :ivar request_id: the caller's id of one attempt; forwarded to the server, and returned.
    :ivar deadline_ms: milliseconds left until the deadline.
    :ivar server_id: the intended server; any other answers that it did not run the request.
    :ivar answering_server_id: the server that answered.
    :ivar not_run: the server states that it did not run the request.
    :ivar key: key, as a number.
    :ivar handover: data that a release passes on to the next owner.
    :ivar signature: marks a response as written by the server itself.
    :ivar load: the server's own load report; empty if servers send none.
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
