"""The leader's task that keeps the configuration in step with the processes that exist."""

import asyncio

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.consensus.change_signal import ChangeSignal
from indigoworks.consensus.checkpoint_writer import CheckpointWriter
from indigoworks.consensus.configurations import (
    address_of,
    has_same_voters,
    is_member,
    is_voter,
    members_of,
)
from indigoworks.consensus.consensus_timing import ConsensusTiming
from indigoworks.consensus.identity_probe import IdentityProbe
from indigoworks.consensus.leadership import Leadership
from indigoworks.consensus.membership_facts import MembershipFacts
from indigoworks.consensus.membership_plan import MembershipPlan
from indigoworks.consensus.peer_replication import PeerReplication
from indigoworks.consensus.replica import Replica
from indigoworks.platform.machine_list import MachineList
from indigoworks.wire.control_pb2 import Configuration, JoinRequest, Member


class Membership:
    """Adds learners, promotes and replaces voters, one change at a time, for one leadership."""

    def __init__(
        self,
        leadership: Leadership,
        replica: Replica,
        checkpoints: CheckpointWriter,
        probe: IdentityProbe,
        machines: MachineList,
        clock: Clock,
        timing: ConsensusTiming,
    ) -> None:
        self._leadership = leadership
        self._replica = replica
        self._checkpoints = checkpoints
        self._probe = probe
        self._machines = machines
        self._clock = clock
        self._timing = timing
        self._joining: dict[str, Member] = {}
        self._leaving: set[str] = set()
        self._gone: set[str] = set()
        self._listed: set[str] = set()
        self._is_own_leaving = False
        self._changed = ChangeSignal()

    def request(self, request: JoinRequest) -> None:
        """Note a process that wants to join or to leave."""
        incarnation = request.member.incarnation
        if request.is_leaving:
            self._leaving.add(incarnation)
            self._joining.pop(incarnation, None)
        elif not is_member(self._replica.log.configuration, incarnation):
            self._joining[incarnation] = request.member
        self._changed.notify()

    def is_leaving(self, incarnation: str) -> bool:
        """Tell whether the member has asked to leave."""
        return incarnation in self._leaving

    def prepare_successor(self) -> None:
        """Promote a learner even to an even number of voters, since the leader stops."""
        self._is_own_leaving = True
        self._changed.notify()

    async def run(self) -> None:
        """Change the configuration where needed, until cancelled."""
        while self._leadership.is_current:
            await self._wait()
            if not self._may_change():
                continue
            await self._probe_silent_members()
            if not self._may_change():
                continue
            following = self._plan().next()
            if following is not None:
                await self._change_to(following)

    async def note_machine_list(self) -> None:
        """Note which members the machine list shows, also for the checkpoint, until cancelled."""
        while self._leadership.is_current:
            listed = await self._machines.machines()
            if listed.is_ok():
                addresses = {(record.host, record.port) for record in listed.unwrap()}
                self._listed |= {
                    member.incarnation
                    for member in members_of(self._replica.log.configuration)
                    if (member.host, member.control_port) in addresses
                }
                self._checkpoints.note_listed(self._listed)
                self._changed.notify()
            await self._clock.sleep(self._timing.machine_list_interval_s)

    async def _wait(self) -> None:
        try:
            async with asyncio.timeout(self._timing.membership_interval_s):
                await self._changed.wait()
        except TimeoutError:
            return

    def _may_change(self) -> bool:
        """Tell whether a change may start: one at a time, and only in an established term."""
        log = self._replica.log
        is_settled = log.configuration_index <= self._replica.commit_index
        return self._leadership.is_established and is_settled

    async def _change_to(self, following: Configuration) -> None:
        current = self._replica.log.configuration
        if not has_same_voters(current, following):
            if not await self._checkpoints.announce(following):
                self._checkpoints.withdraw()
                return
            # While the row was written, leadership may have ended.
            if not self._may_change() or self._replica.log.configuration != current:
                return
        changed = await self._leadership.change_configuration(following)
        self._checkpoints.withdraw()
        if changed.is_err():
            log_message(
                message_type="consensus:configuration_failed", kind=changed.unwrap_err().kind
            )

    def _plan(self) -> MembershipPlan:
        configuration = self._replica.log.configuration
        known = {member.incarnation for member in members_of(configuration)}
        for incarnation in known & self._joining.keys():
            del self._joining[incarnation]
        return MembershipPlan(configuration, self._facts(), self._timing.max_voters)

    def _facts(self) -> MembershipFacts:
        own = self._replica.member.incarnation
        peers = self._leadership.peers
        live = {peer.peer.incarnation for peer in peers if self._is_live(peer)}
        return MembershipFacts(
            own=own,
            live=frozenset(live | {own}),
            caught_up=frozenset(peer.peer.incarnation for peer in peers if self._is_fit(peer)),
            gone=frozenset(self._gone),
            silent=frozenset(peer.peer.incarnation for peer in peers if self._is_silent(peer)),
            leaving=frozenset(self._leaving),
            joining=tuple(self._joining.values()),
            is_own_leaving=self._is_own_leaving,
        )

    def _is_live(self, peer: PeerReplication) -> bool:
        has_confirmed = peer.confirmed_at_s > float("-inf")
        return has_confirmed and peer.silence_s() < self._timing.live_peer_s

    def _is_fit(self, peer: PeerReplication) -> bool:
        missing = self._replica.log.last_index - peer.match_index
        is_close = peer.match_index > 0 and missing <= self._timing.caught_up_entries
        is_staying = peer.peer.incarnation not in self._leaving
        return is_close and is_staying and self._is_live(peer) and self._may_be_shown_gone(peer)

    def _may_be_shown_gone(self, peer: PeerReplication) -> bool:
        """Tell whether the loss of the peer with its machine could be noticed.

        A voter that the machine list never showed cannot be found missing there, and would block
        every later generation. That counts only where the platform lists controllers at all.
        """
        is_own_listed = self._replica.member.incarnation in self._listed
        return peer.peer.incarnation in self._listed or not is_own_listed

    def _is_silent(self, peer: PeerReplication) -> bool:
        """Tell whether the peer has been silent for so long that it is given up."""
        if is_voter(self._replica.log.configuration, peer.peer.incarnation):
            return peer.silence_s() > self._timing.replace_silent_voter_s
        return peer.silence_s() > self._timing.remove_silent_learner_s

    async def _probe_silent_members(self) -> None:
        """Ask who answers at the addresses of silent members: another run shows the old ended."""
        silent = [
            peer.peer
            for peer in self._leadership.peers
            if peer.silence_s() > self._timing.live_peer_s
            and peer.peer.incarnation not in self._gone
        ]
        if not silent:
            return
        answers = await self._probe.ask({address_of(member) for member in silent})
        for member in silent:
            answer = answers.get(address_of(member))
            if answer is not None and answer.member.incarnation != member.incarnation:
                self._gone.add(member.incarnation)
