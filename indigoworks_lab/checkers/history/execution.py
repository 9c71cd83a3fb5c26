"""One execution of a request at a back end."""

from dataclasses import dataclass


@dataclass
class Execution:
    """A back end began to run a request.

    :ivar server_run: number of the run of the server; a restarted server has another one.
    :ivar effect_s: when the request took effect; None if it never did.
    :ivar answer: body of the back end's answer; None if there was none.
    """

    request_id: str
    service: str
    key: bytes
    server: str
    server_run: int
    token: int
    started_s: float
    effect_s: float | None = None
    answer: bytes | None = None
