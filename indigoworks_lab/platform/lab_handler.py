"""Base of the handlers by which the lab steers the stand-in."""

from http import HTTPStatus

from tornado.web import RequestHandler

from indigoworks_lab.platform.platform_state import PlatformState


class LabHandler(RequestHandler):
    """Shows no faults, so that the lab can steer the stand-in at any moment."""

    def initialize(self, state: PlatformState) -> None:
        """Take the state of the stand-in."""
        self.state = state

    def refuse(self, message: str) -> None:
        """Answer 400."""
        self.set_status(HTTPStatus.BAD_REQUEST)
        self.finish({"message": message})
