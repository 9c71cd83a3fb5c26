"""A router of the consistent-hashing baseline."""

import asyncio

from result import Ok

from indigoworks.backend.backend_requests import BackendRequests
from indigoworks.backend.backend_response import BackendResponse
from indigoworks.backend.errors import BackendUnreachable
from indigoworks.backend.owned_request import OwnedRequest
from indigoworks.common.ring.key_hash import key_hash
from indigoworks.platform.machine_list import MachineList
from indigoworks.router.caller_request import CallerRequest
from indigoworks.router.caller_response import CallerResponse
from indigoworks.router.outcome import Outcome
from indigoworks.settings.settings_resolver import SettingsResolver
from indigoworks_lab.bench.baseline.consistent_ring import ConsistentRing
from indigoworks_lab.bench.deployment.backend_registry import BackendRegistry

LIST_INTERVAL_S = 1.0
"""Time between two reads of the machine list."""

TRIES = 3
"""Servers that are tried where connecting fails."""


class HashingRouter:
    """Sends each request at once to the server that the hash of its key names.

    No owners, no queue, no shares of groups, no bound on what a server gets. Only a failed
    connection is tried again, at the next server of the ring.
    """

    def __init__(
        self,
        machines: MachineList,
        registry: BackendRegistry,
        backends: BackendRequests,
        settings: SettingsResolver,
    ) -> None:
        self._machines = machines
        self._registry = registry
        self._backends = backends
        self._settings = settings
        self._rings: dict[str, ConsistentRing] = {}

    async def run(self) -> None:
        """Follow the machine list until cancelled."""
        while True:
            listed = await self._machines.machines()
            if isinstance(listed, Ok):
                names: dict[str, list[str]] = {}
                for machine in listed.unwrap():
                    if machine.role == "server" and not machine.is_leaving:
                        names.setdefault(machine.service, []).append(machine.name)
                self._rings = {
                    service: self._ring_of(service, servers) for service, servers in names.items()
                }
            await asyncio.sleep(LIST_INTERVAL_S)

    def ring(self, service: str) -> ConsistentRing | None:
        """Return the ring of a service; the same one while its servers are the same."""
        return self._rings.get(service)

    def owner(self, service: str, place: int) -> str:
        """Return the server that gets the requests of a key now; empty where there is none."""
        owners = self._owners(service, place, 1)
        return owners[0] if owners else ""

    async def handle(self, request: CallerRequest) -> CallerResponse:
        """Send the request and pass the answer on."""
        settings = self._settings.resolve(request.service, request.group)
        assert settings is not None, "the bench asks for known services only"
        deadline_s = asyncio.get_running_loop().time() + settings.request_timeout_s
        for name in self._owners(request.service, key_hash(request.key), TRIES):
            remaining_s = deadline_s - asyncio.get_running_loop().time()
            server = self._registry.named(name)
            owned = _owned(request, server.identity.incarnation, remaining_s)
            sent = await self._backends.send(server.address, owned)
            if isinstance(sent, Ok):
                return _response(sent.unwrap())
            if not isinstance(sent.unwrap_err(), BackendUnreachable):
                return CallerResponse(504, (), b"", Outcome.UNKNOWN)
        return CallerResponse(503, (), b"", Outcome.NOT_RUN)

    def _ring_of(self, service: str, servers: list[str]) -> ConsistentRing:
        known = self._rings.get(service)
        if known is not None and known.servers == tuple(servers):
            return known
        return ConsistentRing(servers)

    def _owners(self, service: str, place: int, count: int) -> list[str]:
        ring = self._rings.get(service)
        return ring.owners(place, count) if ring is not None else []


def _response(answer: BackendResponse) -> CallerResponse:
    outcome = Outcome.NOT_RUN if answer.is_shed else Outcome.COMPLETED
    return CallerResponse(answer.status, answer.headers, answer.body, outcome)


def _owned(request: CallerRequest, incarnation: str, remaining_s: float) -> OwnedRequest:
    return OwnedRequest(
        request_id=request.request_id,
        service=request.service,
        key=request.key,
        group=request.group,
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=request.body,
        range_start=0,
        range_end=0,
        token=0,
        server_incarnation=incarnation,
        remaining_s=remaining_s,
    )
