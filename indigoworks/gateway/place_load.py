"""Load of the servers that a request may go to."""

from collections.abc import Sequence
from dataclasses import dataclass

from indigoworks.gateway.server_board import ServerBoard
from indigoworks.gateway.server_room import ServerRoom
from indigoworks.servers.server_record import ServerRecord


@dataclass(frozen=True, slots=True)
class PlaceLoad:
    """Slots and requests in flight of all these servers; seconds of one request there.

    :ivar slots: of a cold server only what its rate allows.
    :ivar service_s: mean over the servers.
    :ivar least_s: at the fastest of them.
    """

    slots: float
    in_flight: int
    service_s: float
    least_s: float

    @classmethod
    def of(
        cls, servers: Sequence[ServerRecord], board: ServerBoard, room: ServerRoom
    ) -> "PlaceLoad":
        """Return the load of `servers`, which are not none."""
        times_s = [board.service_s(each) for each in servers]
        return cls(
            sum(map(room.slots_of, servers, times_s)),
            sum(board.in_flight(each.server_id) for each in servers),
            sum(times_s) / len(times_s),
            min(times_s),
        )

    def wait_s(self, ahead: int) -> float:
        """Return how long it takes until `ahead` requests and one more have a place."""
        return max(0, self.in_flight - self.slots + ahead + 1) / self.slots * self.service_s
