"""GET /machines."""

import asyncio
from dataclasses import asdict
from http import HTTPStatus

from indigoworks_lab.platform.service_handler import ServiceHandler


class MachinesHandler(ServiceHandler):
    """Lists the machines as they were a while ago."""

    async def get(self) -> None:
        """Answer with the records."""
        now_s = asyncio.get_running_loop().time()
        lag_s = self.state.faults.machine_list_lag_s
        records = self.state.machines.listed(now_s, lag_s)
        await self.answer(HTTPStatus.OK, {"machines": [asdict(record) for record in records]})
