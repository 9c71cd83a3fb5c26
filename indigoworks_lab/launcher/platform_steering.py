"""The lab's own interface of the platform's stand-in."""

import json
from dataclasses import asdict
from urllib.parse import quote

from tornado.simple_httpclient import SimpleAsyncHTTPClient

from indigoworks.platform.machine_record import MachineRecord
from indigoworks_lab.launcher.controller_plan import ControllerPlan
from indigoworks_lab.launcher.router_plan import RouterPlan
from indigoworks_lab.launcher.server_plan import ServerPlan
from indigoworks_lab.platform.platform_faults import PlatformFaults

REQUEST_TIMEOUT_S = 5.0


class PlatformSteering:
    """Enters machines in the list and sets faults. Failures are raised: the lab cannot go on."""

    def __init__(self, platform_url: str) -> None:
        self._url = platform_url
        self._client = SimpleAsyncHTTPClient(force_instance=True, max_clients=32)

    async def put_server(self, server: ServerPlan, is_leaving: bool = False) -> None:
        """Enter a back end, or mark it as leaving."""
        address = server.listed or server.http
        record = MachineRecord(
            server.name,
            "server",
            server.service,
            server.zone,
            address.host,
            address.port,
            is_leaving,
        )
        await self._put(record)

    async def put_program(
        self, role: str, plan: ControllerPlan | RouterPlan, is_leaving: bool = False
    ) -> None:
        """Enter a controller or a router, or mark it as leaving."""
        control = plan.control
        await self._put(
            MachineRecord(plan.name, role, "", plan.zone, control.host, control.port, is_leaving)
        )

    async def remove(self, name: str) -> None:
        """Remove a machine from the list."""
        await self._client.fetch(
            f"{self._url}/lab/machines/{quote(name)}",
            method="DELETE",
            request_timeout=REQUEST_TIMEOUT_S,
        )

    async def set_faults(self, faults: PlatformFaults) -> None:
        """Put `faults` in force."""
        await self._client.fetch(
            f"{self._url}/lab/faults",
            method="POST",
            body=faults.model_dump_json(),
            request_timeout=REQUEST_TIMEOUT_S,
        )

    async def _put(self, record: MachineRecord) -> None:
        await self._client.fetch(
            f"{self._url}/lab/machines/{quote(record.name)}",
            method="PUT",
            body=json.dumps(asdict(record)),
            request_timeout=REQUEST_TIMEOUT_S,
        )
