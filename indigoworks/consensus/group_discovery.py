"""The task that finds the group, joins it, or has it formed."""

from collections.abc import Mapping, Sequence

from indigoworks.common.address import Address
from indigoworks.common.clock import Clock
from indigoworks.consensus.configurations import address_of, members_of
from indigoworks.consensus.consensus_timing import ConsensusTiming
from indigoworks.consensus.generation_recovery import GenerationRecovery
from indigoworks.consensus.identity_probe import IdentityProbe
from indigoworks.consensus.peer_clients import PeerClients
from indigoworks.consensus.replica import Replica
from indigoworks.consensus.role import Role
from indigoworks.platform.machine_list import MachineList
from indigoworks.wire.control_pb2 import Frame, IdentityReply, JoinRequest, Member

CONTROLLER_ROLE = "controller"


class GroupDiscovery:
    """Looks for a leader while this node hears from none, and asks it to be taken in."""

    def __init__(
        self,
        replica: Replica,
        seeds: Sequence[Address],
        machines: MachineList,
        probe: IdentityProbe,
        recovery: GenerationRecovery,
        clients: PeerClients,
        clock: Clock,
        timing: ConsensusTiming,
    ) -> None:
        self._replica = replica
        self._seeds = seeds
        self._machines = machines
        self._probe = probe
        self._recovery = recovery
        self._clients = clients
        self._clock = clock
        self._timing = timing

    async def run(self) -> None:
        """Search whenever no leader is heard, until cancelled."""
        while True:
            if self._is_search_needed():
                await self._search()
            await self._clock.sleep(self._timing.discovery_interval_s)

    def _is_search_needed(self) -> bool:
        replica = self._replica
        if replica.role is Role.LEADER or replica.is_stopping:
            return False
        silence_s = self._clock.now() - replica.last_leader_contact_s
        return silence_s > self._timing.discovery_silence_s

    async def _search(self) -> None:
        answers = await self._probe.ask(await self._addresses())
        self._adopt_newest(answers)
        leader = self._reported_leader(answers)
        if not self._is_search_needed():
            return
        if leader is None:
            await self._recovery.consider(answers)
            return
        self._recovery.forget_evidence()
        await self._join(leader)

    def _adopt_newest(self, answers: Mapping[Address, IdentityReply]) -> None:
        newest = max((answer.generation for answer in answers.values()), default=0)
        if newest > self._replica.generation:
            self._replica.adopt_generation(newest)

    def _reported_leader(self, answers: Mapping[Address, IdentityReply]) -> Member | None:
        current = [
            answer
            for answer in answers.values()
            if answer.generation == self._replica.generation and answer.HasField("leader")
        ]
        if not current:
            return None
        return max(current, key=lambda answer: answer.term).leader

    async def _addresses(self) -> set[Address]:
        members = members_of(self._replica.log.configuration)
        known = {address_of(member) for member in members}
        known |= set(self._seeds) | self._recovery.row_addresses | await self._listed_controllers()
        return known - {address_of(self._replica.member)}

    async def _listed_controllers(self) -> set[Address]:
        listed = await self._machines.machines()
        if listed.is_err():
            return set()
        return {
            Address(record.host, record.port)
            for record in listed.unwrap()
            if record.role == CONTROLLER_ROLE
        }

    async def _join(self, leader: Member) -> None:
        request = Frame(join_request=JoinRequest(member=self._replica.member))
        await self._clients.call(address_of(leader), request, self._timing.call_timeout_s)
