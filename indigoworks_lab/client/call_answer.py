"""A router's answer to a caller."""

import json
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any


@dataclass(frozen=True)
class CallAnswer:
    """Status, outcome and body of an answer.

    :ivar status: HTTP status; 0 where no whole answer came.
    :ivar outcome: completed, not-run or unknown; "refused" where the connection was refused,
        "lost" where it ended without a whole answer.
    :ivar request_id: id that the request was sent with.
    :ivar echoed_id: id that the answer names; empty where it names none.
    """

    status: int
    outcome: str
    request_id: str
    echoed_id: str
    body: bytes

    @property
    def is_completed(self) -> bool:
        """Return whether the back end ran the request and its own whole answer came back."""
        return self.status == HTTPStatus.OK and self.outcome == "completed" and self.is_own

    @property
    def is_own(self) -> bool:
        """Return whether the answer names the request that it answers."""
        return self.echoed_id == self.request_id

    def fields(self) -> dict[str, Any]:
        """Return the JSON body; empty where there is none."""
        try:
            parsed = json.loads(self.body)
        except ValueError:
            return {}
        return parsed if isinstance(parsed, dict) else {}

    def server(self) -> str:
        """Return the name of the back end that answered, as the body tells it."""
        return str(self.fields().get("server", ""))
