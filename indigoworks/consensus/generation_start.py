"""The first checkpoint of a generation."""

from indigoworks.consensus.log_position import position_of
from indigoworks.consensus.replica import Replica
from indigoworks.wire.control_pb2 import (
    Checkpoint,
    Command,
    Configuration,
    LogEntry,
    Member,
    Noop,
)

FIRST_GENERATION = 1
FIRST_INDEX = 1
FIRST_TERM = 1


def first_generation(member: Member) -> Checkpoint:
    """Return the start of a group that has no checkpoint yet, with `member` as only voter."""
    return Checkpoint(
        generation=FIRST_GENERATION,
        term=FIRST_TERM,
        last_index=FIRST_INDEX,
        last_term=FIRST_TERM,
        configuration=Configuration(voters=[member]),
    )


def next_generation(found: Checkpoint, replica: Replica) -> Checkpoint:
    """Return the start of the generation after `found`, with this node as only voter.

    A survivor whose log reaches at least as far as the row takes its own state and log: the row
    is written behind, so the log may hold commands that were acknowledged since.
    """
    start = _from_own_log(replica) if is_survivor(found, replica) else _from_row(found)
    start.generation = found.generation + 1
    start.term = max(found.term, replica.term) + 1
    start.configuration.CopyFrom(Configuration(voters=[replica.member]))
    return start


def is_survivor(found: Checkpoint, replica: Replica) -> bool:
    """Tell whether this node's log holds all that the checkpoint holds."""
    is_same_generation = replica.generation == found.generation and replica.is_initialised
    return is_same_generation and replica.log.position >= position_of(found)


def _from_row(found: Checkpoint) -> Checkpoint:
    return Checkpoint(
        last_index=found.last_index,
        last_term=found.last_term,
        state=found.state,
        entries=found.entries,
    )


def _from_own_log(replica: Replica) -> Checkpoint:
    log = replica.log
    index = replica.commit_index
    tail = log.entries_after(index, log.last_index - index)
    return Checkpoint(
        last_index=index,
        last_term=log.held_term_at(index),
        state=replica.state.snapshot(),
        entries=[_without_configuration(entry) for entry in tail],
    )


def _without_configuration(entry: LogEntry) -> LogEntry:
    # A configuration of the ended generation must not come into force in the new one.
    if entry.command.WhichOneof("command") != "configuration":
        return entry
    return LogEntry(index=entry.index, term=entry.term, command=Command(noop=Noop()))
