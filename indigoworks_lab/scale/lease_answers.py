"""Answers of a hollow back end to lease requests."""

from pydantic import ValidationError

from indigoworks.backend.http_renewal_model import HttpRenewalModel
from indigoworks.backend.http_status_model import HttpStatusModel
from indigoworks_lab.backend.stand_in_server import StandInServer

STATUS_REQUEST = b"GET /control/status "
LEASE_REQUEST = b"PUT /control/lease "


class LeaseAnswers:
    """Takes renewals for one stand-in.

    :ivar lease_ends_s: reading of the machine's clock at which the lease lapses.
    """

    def __init__(self, server: StandInServer) -> None:
        self._server = server
        self.lease_ends_s = 0.0

    def answer(self, request_line: bytes, body: bytes) -> bytes:
        """Return the HTTP answer to one request under /control/."""
        if request_line.startswith(STATUS_REQUEST):
            return _answer(b"200 OK", HttpStatusModel.from_status(self._server.status()))
        if not request_line.startswith(LEASE_REQUEST):
            return _message(b"404 Not Found", b"{}")
        return self._renewal_answer(body)

    def _renewal_answer(self, body: bytes) -> bytes:
        try:
            renewal = HttpRenewalModel.model_validate_json(body).to_renewal()
        except ValidationError:
            return _message(b"400 Bad Request", b"{}")
        renewed = self._server.renew(renewal)
        if renewed.is_err():
            return _message(b"409 Conflict", renewed.unwrap_err().message.encode())
        self.lease_ends_s = max(self.lease_ends_s, renewal.valid_until_s)
        return _answer(b"200 OK", HttpStatusModel.from_status(renewed.unwrap()))


def _answer(status: bytes, model: HttpStatusModel) -> bytes:
    return _message(status, model.model_dump_json().encode())


def _message(status: bytes, body: bytes) -> bytes:
    head = b"HTTP/1.1 %b\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
    return head % (status, len(body)) + body
