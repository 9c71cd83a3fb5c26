"""The response to a caller's request."""

import json
from dataclasses import dataclass

from indigoworks.backend.backend_response import BackendResponse
from indigoworks.common.errors import IndigoworksError
from indigoworks.router.errors import RouterError
from indigoworks.router.outcome import Outcome


@dataclass(frozen=True)
class CallerResponse:
    """Status, end-to-end headers, complete body, and the outcome of the request.

    :ivar retry_after_s: seconds after which a retry may succeed; 0: not stated.
    :ivar error: why the request was not completed; None if it was.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    outcome: Outcome
    retry_after_s: float = 0.0
    error: IndigoworksError | None = None


def response_from_backend(response: BackendResponse) -> CallerResponse:
    """Return the response to the caller for a back end's complete response."""
    return CallerResponse(response.status, response.headers, response.body, Outcome.COMPLETED)


def response_from_error(error: RouterError) -> CallerResponse:
    """Return the response that reports `error` as a JSON object."""
    fields = {
        "kind": error.kind,
        "message": error.message,
        "remedy": error.remedy,
        "retry_after_s": round(error.retry_after_s, 3),
    }
    return CallerResponse(
        status=error.status,
        headers=(("Content-Type", "application/json"),),
        body=json.dumps(fields).encode(),
        outcome=error.outcome,
        retry_after_s=error.retry_after_s,
        error=error,
    )
