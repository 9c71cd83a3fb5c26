"""The leader's task that writes the durable copy of the state."""

import asyncio

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.consensus.checkpoint_row import CheckpointRow
from indigoworks.consensus.configurations import has_same_voters
from indigoworks.consensus.consensus_timing import ConsensusTiming
from indigoworks.consensus.leadership import Leadership
from indigoworks.consensus.replica import Replica
from indigoworks.consensus.stored_checkpoint import StoredCheckpoint
from indigoworks.platform.errors import PlatformError
from indigoworks.wire.control_pb2 import Checkpoint, Configuration


class CheckpointWriter:
    """Writes checkpoints behind the log, for one leadership.

    A write is conditional on the version of a row that was seen to be of this or an earlier
    leadership, so it never replaces a newer leader's checkpoint. A failed write is repeated later
    and stops nothing else.
    """

    def __init__(
        self,
        leadership: Leadership,
        replica: Replica,
        row: CheckpointRow,
        clock: Clock,
        timing: ConsensusTiming,
    ) -> None:
        self._leadership = leadership
        self._replica = replica
        self._row = row
        self._clock = clock
        self._timing = timing
        self._lock = asyncio.Lock()
        self._stored: StoredCheckpoint | None = None
        self._read_at_s = float("-inf")
        self._pause_s = 0.0
        self._next_configuration: Configuration | None = None
        self._listed_voters: set[str] = set()

    async def run(self) -> None:
        """Write whenever something changed, until the leadership ends."""
        while self._leadership.is_current:
            await self._clock.sleep(max(self._timing.checkpoint_interval_s, self._pause_s))
            self._pause_s = 0.0
            if self._leadership.is_established:
                async with self._lock:
                    await self._check_and_write()

    async def announce(self, configuration: Configuration) -> bool:
        """Write that the voters are about to become those of `configuration`.

        A change of voters may only be appended after this returned True: recovery reads from the
        row which majorities may exist.
        """
        async with self._lock:
            self._next_configuration = configuration
            if self._stored is None and not await self._read():
                return False
            return await self._write()

    def withdraw(self) -> None:
        """Note that the announced configuration is committed, or will not be appended."""
        self._next_configuration = None

    def note_listed(self, incarnations: set[str]) -> None:
        """Note voters that the machine list has shown."""
        self._listed_voters |= incarnations

    async def _check_and_write(self) -> None:
        if self._clock.now() - self._read_at_s >= self._timing.generation_check_s:
            await self._read()
        if self._stored is not None and self._is_behind(self._stored.checkpoint):
            await self._write()

    async def _read(self) -> bool:
        """Read the row; True when this leadership may write it."""
        self._stored = None
        asked_at_s = self._clock.now()
        read = await self._row.read()
        if read.is_err():
            self._note_failure(read.unwrap_err())
            return False
        stored = read.unwrap()
        if stored is None:
            # The row exists since the first generation was formed: without it nothing is fenced.
            log_message(message_type="consensus:checkpoint_row_missing")
            return False
        if not self._may_replace(stored.checkpoint):
            return False
        self._read_at_s = asked_at_s
        self._confirm_generation(asked_at_s)
        self._listed_voters |= set(stored.checkpoint.listed_voters)
        self._stored = stored
        return True

    def _may_replace(self, found: Checkpoint) -> bool:
        """Apply the fence; a newer generation in the row ends the own one."""
        if not self._leadership.is_current:
            return False
        if found.generation > self._leadership.generation:
            self._replica.adopt_generation(found.generation)
            return False
        own = (self._leadership.generation, self._leadership.term)
        return (found.generation, found.term) <= own

    async def _write(self) -> bool:
        stored = self._stored
        if stored is None or not self._leadership.is_established:
            return False
        checkpoint = self._header()
        checkpoint.state = self._replica.state.snapshot()
        asked_at_s = self._clock.now()
        replaced = await self._row.replace(checkpoint, stored.version)
        if replaced.is_err():
            self._note_failure(replaced.unwrap_err())
            # Whatever stands there now is held against the fence before another write.
            self._stored = None
            return False
        if not self._leadership.is_current:
            return False
        self._stored = StoredCheckpoint(checkpoint, replaced.unwrap())
        self._read_at_s = asked_at_s
        self._confirm_generation(asked_at_s)
        return True

    def _confirm_generation(self, asked_at_s: float) -> None:
        # An answer that took long may have waited for a frozen process.
        now_s = self._clock.now()
        if now_s - asked_at_s < self._timing.every_lease_s / 2:
            self._replica.confirm_generation(now_s)

    def _header(self) -> Checkpoint:
        """Return the checkpoint as of now, without the state."""
        replica = self._replica
        index = replica.commit_index
        configuration = replica.log.configuration_at(index)
        following = self._following(configuration)
        voters = {voter.incarnation for voter in configuration.voters}
        if following is not None:
            voters |= {voter.incarnation for voter in following.voters}
        header = Checkpoint(
            generation=self._leadership.generation,
            term=self._leadership.term,
            last_index=index,
            last_term=replica.log.held_term_at(index),
            configuration=configuration,
            listed_voters=sorted(voters & self._listed_voters),
        )
        if following is not None:
            header.next_configuration.CopyFrom(following)
        return header

    def _following(self, committed: Configuration) -> Configuration | None:
        """Return the configuration under way, if its voters differ from the committed ones."""
        following = self._next_configuration or self._replica.log.configuration
        return None if has_same_voters(following, committed) else following

    def _is_behind(self, stored: Checkpoint) -> bool:
        # Equal headers mean equal states: the state is a function of the index.
        stored_header = Checkpoint()
        stored_header.CopyFrom(stored)
        stored_header.ClearField("state")
        return stored_header != self._header()

    def _note_failure(self, error: PlatformError) -> None:
        self._pause_s = error.retry_after_s
        log_message(
            message_type="consensus:checkpoint_failed", kind=error.kind, message=error.message
        )
