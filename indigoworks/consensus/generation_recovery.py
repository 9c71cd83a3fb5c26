"""Forming a generation of the group: the first one, or the next after a loss of the majority."""

from collections.abc import Mapping
from functools import partial

from eliot import log_message

from indigoworks.common.address import Address
from indigoworks.common.clock import Clock
from indigoworks.consensus.checkpoint_row import CheckpointRow
from indigoworks.consensus.configurations import address_of
from indigoworks.consensus.consensus_timing import ConsensusTiming
from indigoworks.consensus.generation_start import (
    first_generation,
    is_survivor,
    next_generation,
)
from indigoworks.consensus.log_position import LogPosition, position_of
from indigoworks.consensus.machine_absence import MachineAbsence
from indigoworks.consensus.own_withdrawal import OwnWithdrawal
from indigoworks.consensus.replica import Replica
from indigoworks.consensus.stored_checkpoint import StoredCheckpoint
from indigoworks.consensus.survivor_watch import SurvivorWatch
from indigoworks.consensus.voter_evidence import VoterEvidence, voters_of
from indigoworks.platform.machine_list import MachineList
from indigoworks.wire.control_pb2 import Checkpoint, IdentityReply

Answers = Mapping[Address, IdentityReply]
"""Who answered at which address."""


class GenerationRecovery:
    """Forms a generation by compare-and-set on the checkpoint row, when no leader is found.

    The first generation and every later one take the same path; only what the row holds differs.
    """

    def __init__(
        self,
        replica: Replica,
        row: CheckpointRow,
        machines: MachineList,
        clock: Clock,
        timing: ConsensusTiming,
    ) -> None:
        self._replica = replica
        self._row = row
        self._machines = machines
        self._clock = clock
        self._timing = timing
        self._evidence = VoterEvidence(
            clock,
            MachineAbsence(clock, timing.machine_list_lag_s),
            replica.ended_incarnations,
        )
        self._survivors = SurvivorWatch(clock, timing)
        self._withdrawal = OwnWithdrawal(replica, clock, timing)
        self._next_read_s = float("-inf")
        self._row_addresses: set[Address] = set()
        self._is_own_listed = False

    @property
    def row_addresses(self) -> set[Address]:
        """Addresses of the voters in the row as last read, to be asked in the next round."""
        return self._row_addresses

    def forget_evidence(self) -> None:
        """A leader was found: whatever spoke for an ended generation no longer counts."""
        self._evidence.clear()
        self._survivors.clear()

    async def consider(self, answers: Answers) -> None:
        """Form a generation where that is allowed now.

        :param answers: the answers of this round; none reported a leader.
        """
        if self._clock.now() < self._next_read_s:
            return
        read = await self._row.read()
        pause_s = self._timing.recovery_read_interval_s
        if read.is_err():
            pause_s = max(pause_s, read.unwrap_err().retry_after_s)
        self._next_read_s = self._clock.now() + pause_s
        if read.is_err():
            return
        stored = read.unwrap()
        if stored is not None:
            await self._consider_next(stored, answers)
        elif self._replica.generation == 0:
            start = first_generation(self._replica.member)
            await self._listed_addresses()
            await self._form(start, 0)

    async def _consider_next(self, stored: StoredCheckpoint, answers: Answers) -> None:
        found = stored.checkpoint
        self._row_addresses = {address_of(voter) for voter in voters_of(found)}
        if self._is_own_start(found):
            self._replica.start_from(found)
            return
        if found.generation > self._replica.generation:
            self._replica.adopt_generation(found.generation)
        if found.generation != self._replica.generation:
            return
        known = {**answers, **self._own_answer()}
        listed = await self._listed_addresses()
        # While the list was asked for, this node may have heard of a newer generation.
        if found.generation != self._replica.generation:
            return
        self._resolve_withdrawal(stored.version)
        self._evidence.observe(found, partial(self._withdrawal.counted_out, found), known, listed)
        self._survivors.observe(found.generation, self._start_position(found), answers.values())
        if self._replica.has_withdrawn or self._may_form_next(stored.version, answers):
            await self._form(next_generation(found, self._replica), stored.version)

    def _resolve_withdrawal(self, version: int) -> None:
        """End a withdrawal once the write for which it was made can no longer take effect.

        Until then this node goes on with it, whatever it sees: the write may have taken effect.
        """
        if self._replica.has_withdrawn and self._replica.withdrawn_at_version != version:
            self._replica.take_part_again()

    def _may_form_next(self, version: int, answers: Answers) -> bool:
        """Tell whether the generation has ended and no other node should form the next one.

        Where it has ended only without this node, this node withdraws from it.
        """
        if not self._has_ended():
            return False
        configurations = self._evidence.open_configurations
        if not configurations:
            return True
        if not self._withdrawal.is_allowed(configurations, answers, self._evidence.gone):
            return False
        self._replica.withdraw(version)
        return True

    def _has_ended(self) -> bool:
        """Tell whether the generation has ended, with nobody else to go first."""
        ended_for_s = self._evidence.ended_for_s()
        has_ended = ended_for_s > self._timing.every_lease_s
        return has_ended and not self._survivors.has_precedence(ended_for_s)

    def _start_position(self, found: Checkpoint) -> LogPosition:
        """Return how far the generation that this node would form reaches."""
        replica = self._replica
        return replica.log.position if is_survivor(found, replica) else position_of(found)

    def _is_own_start(self, found: Checkpoint) -> bool:
        """Tell whether the row is the start of a generation that this node wrote itself.

        That is so after a lost answer to the write. A node that has no state of the generation
        has never been part of it, so it cannot start it twice.
        """
        replica = self._replica
        voters = [voter.incarnation for voter in found.configuration.voters]
        is_unknown = found.generation > replica.generation or not replica.is_initialised
        return is_unknown and voters == [replica.member.incarnation]

    async def _form(self, checkpoint: Checkpoint, expected_version: int) -> None:
        generation = self._replica.generation
        member = self._replica.member
        # Should this node be lost with its machine before its first checkpoint as leader, the row
        # must already say that the machine list has shown it: only then can it be shown gone. That
        # holds also when the list cannot be read just now.
        if self._is_own_listed:
            checkpoint.listed_voters.append(member.incarnation)
        replaced = await self._row.replace(checkpoint, expected_version)
        # A lost answer is resolved in a later round, which reads the row again. So is a newer
        # generation that this node heard of while it wrote.
        if replaced.is_err() or self._replica.generation != generation:
            return
        log_message(
            message_type="consensus:generation_formed",
            member=self._replica.member.name,
            generation=checkpoint.generation,
            last_index=checkpoint.last_index,
        )
        self._evidence.clear()
        self._survivors.clear()
        self._replica.start_from(checkpoint)
        self._replica.confirm_generation(self._clock.now())

    def _own_answer(self) -> dict[Address, IdentityReply]:
        # This process may itself be the proof that an earlier run at its address has ended.
        member = self._replica.member
        return {address_of(member): IdentityReply(member=member)}

    async def _listed_addresses(self) -> frozenset[Address] | None:
        listed = await self._machines.machines()
        if listed.is_err():
            return None
        addresses = frozenset(Address(record.host, record.port) for record in listed.unwrap())
        self._is_own_listed |= address_of(self._replica.member) in addresses
        return addresses
