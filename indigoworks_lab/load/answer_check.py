"""Checks that an answer is whole and belongs to its request."""

from pydantic import ValidationError

from indigoworks_lab.backend.answer_body import AnswerBody
from indigoworks_lab.load.load_request import LoadRequest


def is_own_answer(request: LoadRequest, body: bytes) -> bool:
    """Tell whether `body` is the whole answer of a stand-in back end to `request`."""
    try:
        answer = AnswerBody.model_validate_json(body)
    except ValidationError:
        return False
    return (answer.request_id, answer.key, answer.method) == (
        request.request_id,
        request.key,
        request.method,
    )
