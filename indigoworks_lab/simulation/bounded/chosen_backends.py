"""Renewals whose delays and losses the search chooses."""

import asyncio

import detangle
from result import Err, Ok, Result

from indigoworks.backend.backend_status import BackendStatus
from indigoworks.backend.errors import BackendAnswerLost, BackendError
from indigoworks.backend.lease_renewal import LeaseRenewal
from indigoworks.common.address import Address
from indigoworks_lab.simulation.ports.recording_server import RecordingServer

PROMPT_S = 0.005
REQUEST_DELAYS_S = (PROMPT_S, 0.7, 2.2)
ANSWER_DELAYS_S = (PROMPT_S, 0.3, 60.0)


class ChosenBackends:
    """BackendControl of two servers. The first calls to one of them meet chosen delays.

    After those calls no further one reaches it, as if it had been cut off; what is under way
    still arrives.
    """

    def __init__(
        self, servers: dict[Address, RecordingServer], chosen: Address, chosen_calls: int
    ) -> None:
        self._servers = servers
        self._chosen = chosen
        self._calls_left = chosen_calls

    async def read_status(
        self, address: Address, timeout_s: float
    ) -> Result[BackendStatus, BackendError]:
        """Return the server's status without changing it."""
        return await self._call(address, None, timeout_s)

    async def renew(
        self, address: Address, renewal: LeaseRenewal, timeout_s: float
    ) -> Result[BackendStatus, BackendError]:
        """Renew the lease and set the grants."""
        return await self._call(address, renewal, timeout_s)

    async def _call(
        self, address: Address, renewal: LeaseRenewal | None, timeout_s: float
    ) -> Result[BackendStatus, BackendError]:
        request_s, answer_s = PROMPT_S, PROMPT_S
        if address == self._chosen:
            if self._calls_left == 0:
                await asyncio.sleep(timeout_s)
                return Err(_lost())
            self._calls_left -= 1
            request_s = detangle.choice(REQUEST_DELAYS_S)
            answer_s = detangle.choice(ANSWER_DELAYS_S)
        call = asyncio.ensure_future(self._carry(address, renewal, request_s, answer_s))
        done, _ = await asyncio.wait({call}, timeout=timeout_s)
        return call.result() if done else Err(_lost())

    async def _carry(
        self, address: Address, renewal: LeaseRenewal | None, request_s: float, answer_s: float
    ) -> Result[BackendStatus, BackendError]:
        await asyncio.sleep(request_s)
        server = self._servers[address]
        answer: Result[BackendStatus, BackendError]
        if renewal is None:
            answer = Ok(server.status())
        else:
            taken = server.renew(renewal)
            answer = Ok(taken.unwrap()) if taken.is_ok() else Err(taken.unwrap_err())
        await asyncio.sleep(answer_s)
        return answer


def _lost() -> BackendAnswerLost:
    return BackendAnswerLost("No answer in time.", "Try again.")
