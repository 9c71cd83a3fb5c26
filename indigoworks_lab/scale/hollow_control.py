"""HTTP interface by which the scale run steers a hollow process."""

import json
from dataclasses import asdict
from typing import Any, Protocol

from tornado.web import Application, RequestHandler

from indigoworks_lab.scale.hollow_servers import HollowServers


class HollowPart(Protocol):
    """The hollow members of one process."""

    async def run(self) -> None:
        """Run until cancelled."""
        ...

    def state(self) -> dict[str, Any]:
        """Return counts and milestones."""
        ...


class StateHandler(RequestHandler):
    """GET /state."""

    def initialize(self, part: HollowPart) -> None:
        """Take the members."""
        self._part = part

    def get(self) -> None:
        """Answer their counts and milestones."""
        self.finish(self._part.state())


class KillHandler(RequestHandler):
    """PUT /kill with the names of back ends."""

    def initialize(self, part: HollowServers) -> None:
        """Take the back ends."""
        self._part = part

    def put(self) -> None:
        """Kill them and answer when that was and when their leases end."""
        names = json.loads(self.request.body)["names"]
        self.finish(asdict(self._part.kill(names)))


def control_application(part: HollowPart) -> Application:
    """Return the interface of `part`."""
    handlers: list[Any] = [(r"/state", StateHandler, {"part": part})]
    if isinstance(part, HollowServers):
        handlers.append((r"/kill", KillHandler, {"part": part}))
    return Application(handlers, log_function=lambda _: None)
