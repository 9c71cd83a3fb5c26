"""Handlers under /control/ of a stand-in back end."""

from pydantic import ValidationError

from indigoworks.backend.http_renewal_model import HttpRenewalModel
from indigoworks.backend.http_status_model import HttpStatusModel
from indigoworks_lab.backend.bad_request import BadRequest
from indigoworks_lab.backend.json_handler import JsonHandler


class StatusHandler(JsonHandler):
    """GET /control/status."""

    async def get(self) -> None:
        """Answer the status."""
        await self.stand_in.freeze_gate.wait()
        self.answer(HttpStatusModel.from_status(self.stand_in.status()))


class LeaseHandler(JsonHandler):
    """PUT /control/lease."""

    async def put(self) -> None:
        """Take a renewal, or answer 409 where it is refused."""
        await self.stand_in.freeze_gate.wait()
        try:
            renewal = HttpRenewalModel.model_validate_json(self.request.body).to_renewal()
        except ValidationError as error:
            remedy = "Send a lease renewal as docs/design/backend-port.md describes it."
            self.refuse(BadRequest(f"The renewal is malformed: {error}.", remedy), 400)
            return
        renewed = self.stand_in.renew(renewal)
        if renewed.is_err():
            self.refuse(renewed.unwrap_err(), 409)
            return
        self.answer(HttpStatusModel.from_status(renewed.unwrap()))


class DrainHandler(JsonHandler):
    """POST /control/drain."""

    async def post(self) -> None:
        """Ask for no new work in every status from now on."""
        await self.stand_in.freeze_gate.wait()
        self.stand_in.drain()
        self.answer(HttpStatusModel.from_status(self.stand_in.status()))
