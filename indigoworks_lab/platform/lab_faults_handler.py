"""GET and POST /lab/faults."""

import asyncio
from dataclasses import asdict

from pydantic import ValidationError

from indigoworks_lab.platform.lab_handler import LabHandler
from indigoworks_lab.platform.platform_faults import PlatformFaults


class LabFaultsHandler(LabHandler):
    """Sets the faults and tells how often each was shown."""

    def get(self) -> None:
        """Answer with the faults in force and the counts."""
        faults = self.state.faults.model_dump()
        self.finish({"faults": faults, "counts": asdict(self.state.counts)})

    def post(self) -> None:
        """Put the faults of the body in force."""
        try:
            faults = PlatformFaults.model_validate_json(self.request.body)
        except ValidationError as error:
            self.refuse(str(error))
            return
        self.state.set_faults(faults, asyncio.get_running_loop().time())
