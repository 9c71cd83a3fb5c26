"""The parts that exist only while a node leads."""

from dataclasses import dataclass

from indigoworks.consensus.checkpoint_writer import CheckpointWriter
from indigoworks.consensus.leadership import Leadership
from indigoworks.consensus.membership import Membership


@dataclass(frozen=True)
class LeaderTenure:
    """Log replication, checkpoints and membership of one term of leadership."""

    leadership: Leadership
    checkpoints: CheckpointWriter
    membership: Membership

    def start(self) -> None:
        """Start the tasks, which end with the leadership."""
        tasks = self.leadership.tasks
        self.leadership.start()
        tasks.start(self.checkpoints.run(), "consensus:checkpoints")
        tasks.start(self.membership.run(), "consensus:membership")
        tasks.start(self.membership.note_machine_list(), "consensus:machine_list")
