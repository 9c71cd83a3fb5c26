"""Input of the ownership rules."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from indigoworks.common.clock import Clock
from indigoworks.controller.control_state import ReplicatedControlState
from indigoworks.controller.leadership import Leadership
from indigoworks.controller.lease_manager import LeaseManager
from indigoworks.controller.placement.range_weights import RangeWeights
from indigoworks.controller.placement.server_weights import ServerWeights
from indigoworks.settings import SettingsTree
from indigoworks.wire.control_pb2 import (
    SERVER_STATE_LIVE,
    ChangeRanges,
    Command,
    RangeRecord,
    Server,
)

NO_NEXT_OWNER = "*"
"""Next owner of a range that must be released although no server can own it now."""


@dataclass(frozen=True)
class OwnershipContext:
    """The leader's state, and helpers shared by the rules.

    The state and the leases are live: commands of one rule are applied before the next one runs.
    The tree and the loads were read at the start of the evaluation.

    :ivar tree: the settings tree in force.
    :ivar loads: busy slots measured by routers, by service and start of the range.
    """

    state: ReplicatedControlState
    leases: LeaseManager
    leadership: Leadership
    tree: SettingsTree
    clock: Clock
    loads: Mapping[tuple[str, int], float] = field(default_factory=dict)

    def candidates(self, service: str) -> Sequence[Server]:
        """Return the servers of `service` that may receive ranges: live and responding."""
        return [
            server
            for server in self.state.servers_of(service)
            if server.state == SERVER_STATE_LIVE and self.leases.is_responding(server)
        ]

    def server_weights(self, service: str) -> ServerWeights:
        """Return the weights of the servers that may receive ranges of `service`."""
        return self.server_weights_of(self.candidates(service), self.state.ranges(service))

    def server_weights_of(
        self, servers: Sequence[Server], records: Sequence[RangeRecord]
    ) -> ServerWeights:
        """Return the weights that `records` put on `servers`."""
        return ServerWeights(servers, records, RangeWeights(records, self.loads))

    def is_current(self, record: RangeRecord) -> bool:
        """Return whether the record was granted in this generation."""
        return record.generation == self.leadership.generation

    def granted_to(self, record: RangeRecord, server: Server | None) -> RangeRecord:
        """Return the record as a new grant to `server`, or without an owner."""
        return RangeRecord(
            service=record.service,
            start=record.start,
            end=record.end,
            owner=server.name if server else "",
            owner_incarnation=server.incarnation if server else "",
            generation=self.leadership.generation,
        )

    def with_next_owner(self, record: RangeRecord, next_owner: str) -> RangeRecord:
        """Return the record with its owner asked to release it to `next_owner`."""
        changed = RangeRecord()
        changed.CopyFrom(record)
        changed.next_owner = next_owner
        return changed

    def live_server(self, name: str) -> Server | None:
        """Return the server named `name` if it may receive ranges."""
        server = self.state.server(name)
        if server is None or server.state != SERVER_STATE_LIVE:
            return None
        return server if self.leases.is_responding(server) else None


def change_command(expected: Sequence[RangeRecord], replacement: Sequence[RangeRecord]) -> Command:
    """Return a command that replaces ranges of one service if they are unchanged when applied."""
    return Command(change_ranges=ChangeRanges(expected=expected, replacement=replacement))
