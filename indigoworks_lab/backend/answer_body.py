"""JSON body of an answer of a stand-in back end."""

from urllib.parse import quote_from_bytes

from pydantic import BaseModel, ConfigDict

from indigoworks.backend.owned_request import OwnedRequest
from indigoworks_lab.backend.key_state import KeyState
from indigoworks_lab.backend.stand_in_identity import StandInIdentity


class AnswerBody(BaseModel):
    """All that a caller or a checker needs to tell whether it got its own, whole answer.

    :ivar key: the key, percent-encoded.
    :ivar value: the bytes of the value, each as one character (latin-1).
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    server: str
    incarnation: str
    service: str
    token: int
    request_id: str
    method: str
    key: str
    value: str
    entry_count: int
    recent_entries: tuple[str, ...]

    @classmethod
    def of(cls, identity: StandInIdentity, request: OwnedRequest, state: KeyState) -> "AnswerBody":
        """Return the body of the answer to `request`, after which its key has `state`."""
        return cls(
            server=identity.name,
            incarnation=identity.incarnation,
            service=identity.service,
            token=request.token,
            request_id=request.request_id,
            method=request.method,
            key=quote_from_bytes(request.key, safe=""),
            value=state.value.decode("latin-1"),
            entry_count=state.entry_count,
            recent_entries=state.recent_entries,
        )
