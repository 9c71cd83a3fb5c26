"""PUT and DELETE /lab/machines/{name}."""

import asyncio

from pydantic import TypeAdapter, ValidationError

from indigoworks.platform.machine_record import MachineRecord
from indigoworks_lab.platform.lab_handler import LabHandler

RECORD_ADAPTER = TypeAdapter(MachineRecord)


class LabMachineHandler(LabHandler):
    """Adds, marks and removes machines; the list shows it after its lag."""

    def put(self, name: str) -> None:
        """Add the machine or replace its record; the body is a MachineRecord."""
        try:
            record = RECORD_ADAPTER.validate_json(self.request.body)
        except ValidationError as error:
            self.refuse(str(error))
            return
        if record.name != name:
            self.refuse("The name in the body differs from the one in the path.")
            return
        self.state.machines.put(record, asyncio.get_running_loop().time())

    def delete(self, name: str) -> None:
        """Remove the machine."""
        self.state.machines.remove(name, asyncio.get_running_loop().time())
