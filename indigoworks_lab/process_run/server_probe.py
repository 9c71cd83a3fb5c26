"""A request sent to a back end without a router."""

from result import Ok

from indigoworks.backend.http_backend_control import HttpBackendControl
from indigoworks.backend.http_backend_requests import HttpBackendRequests
from indigoworks.backend.owned_request import OwnedRequest
from indigoworks.common.clock import LoopClock
from indigoworks_lab.checkers.history.execution import Execution
from indigoworks_lab.launcher.server_plan import ServerPlan

TIMEOUT_S = 5.0
PROBE_ID = "link-probe"


class ServerProbe:
    """Repeats an earlier request's grant, as a router with an old view would."""

    def __init__(self) -> None:
        clock = LoopClock()
        self._control = HttpBackendControl(clock)
        self._requests = HttpBackendRequests(clock)

    async def refuses(self, server: ServerPlan, earlier: Execution) -> bool:
        """Return whether `server` answers 421 to a write under the grant of `earlier`."""
        status = await self._control.read_status(server.http, TIMEOUT_S)
        request = OwnedRequest(
            request_id=PROBE_ID,
            service=earlier.service,
            key=earlier.key,
            group="default",
            method="POST",
            path=f"/v1/{earlier.service}/{earlier.key.decode()}",
            headers=(),
            body=b"deposit",
            range_start=0,
            range_end=0,
            token=earlier.token,
            server_incarnation=status.unwrap().incarnation,
            remaining_s=TIMEOUT_S,
        )
        sent = await self._requests.send(server.http, request)
        return isinstance(sent, Ok) and sent.unwrap().is_wrong_owner

    def close(self) -> None:
        """Close the connections."""
        self._control.close()
        self._requests.close()
