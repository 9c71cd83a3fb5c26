"""Base of the JSON handlers of a stand-in back end."""

from pydantic import BaseModel
from tornado.web import RequestHandler

from indigoworks.common.errors import IndigoworksError
from indigoworks_lab.backend.error_model import ErrorModel
from indigoworks_lab.backend.stand_in_server import StandInServer


class JsonHandler(RequestHandler):
    """Answers pydantic models and typed errors as JSON."""

    def initialize(self, server: StandInServer) -> None:
        """Take the server that the handler answers for."""
        self.stand_in = server

    def answer(self, model: BaseModel, status: int = 200) -> None:
        """Write `model` as the answer."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(model.model_dump_json())

    def refuse(self, error: IndigoworksError, status: int) -> None:
        """Write `error` as the answer."""
        self.answer(ErrorModel.from_error(error), status)

    def compute_etag(self) -> None:
        """Send no entity tag."""
