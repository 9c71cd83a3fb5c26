"""GET /lab/links and POST /lab/links/{name}."""

from dataclasses import asdict
from http import HTTPStatus

from pydantic import ValidationError
from tornado.web import RequestHandler

from indigoworks_lab.link_relay.flow_faults import FlowFaults
from indigoworks_lab.link_relay.flow_table import SEPARATOR, FlowTable


class LinksHandler(RequestHandler):
    """Sets the faults of a flow, `SOURCE>DESTINATION`, and tells what each flow met."""

    def initialize(self, flows: FlowTable) -> None:
        """Take the flows of the relay."""
        self._flows = flows

    def get(self, name: str) -> None:
        """Answer with faults and counts of all flows."""
        self.finish(
            {
                each: {"faults": flow.faults.model_dump(), "counts": asdict(flow.counts)}
                for each, flow in self._flows.flows.items()
            }
        )

    def post(self, name: str) -> None:
        """Put the faults of the body in force for the flow `name`."""
        source, _, destination = name.partition(SEPARATOR)
        if not source or not destination:
            self._refuse(f"{name!r} is not of the form SOURCE>DESTINATION.")
            return
        try:
            faults = FlowFaults.model_validate_json(self.request.body)
        except ValidationError as error:
            self._refuse(str(error))
            return
        self._flows.named(name).set_faults(faults)
        self.finish({})

    def _refuse(self, message: str) -> None:
        self.set_status(HTTPStatus.BAD_REQUEST)
        self.finish({"message": message})
