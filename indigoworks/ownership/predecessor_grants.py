"""Bounds of the previous leader's grants, by server."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from indigoworks.exchange.open_grants import OpenGrants


@dataclass(frozen=True, slots=True)
class PredecessorGrants:
    """What a witness has told of the previous leader's grants; times are readings of our clock.

    :ivar others_until_s: bound of grants that were answered.
    :ivar open_until_s: bounds, by server, of what was sent before the record. The servers are those
        that may yet apply a grant of the previous leader without having answered it.
    :ivar later_until_s: bound of what it may have sent to these servers since.
    """

    others_until_s: float
    open_until_s: Mapping[str, float]
    later_until_s: float

    @classmethod
    def received(
        cls, grants: OpenGrants, received_s: float, later_until_s: float
    ) -> "PredecessorGrants":
        """Return the bounds from a record that a witness aged until it sent it."""
        return cls(
            received_s + grants.left_s,
            {each.server_id: received_s + each.left_s for each in grants.servers},
            later_until_s,
        )

    def lowered(self, later_until_s: float) -> "PredecessorGrants":
        """Return the bounds with a lower one of what was sent since the record."""
        return replace(self, later_until_s=min(later_until_s, self.later_until_s))

    def until_s(self, server_id: str) -> float:
        """Return the bound of a server."""
        sent_until_s = self.open_until_s.get(server_id)
        if sent_until_s is None:
            return self.others_until_s
        return max(self.others_until_s, sent_until_s, self.later_until_s)

    def latest_s(self) -> float:
        """Return the latest bound of all servers."""
        return max((self.others_until_s, *map(self.until_s, self.open_until_s)))

    def open_at(self, now_s: float) -> Iterable[str]:
        """Return the servers that may yet apply a grant, or hold keys by one applied late."""
        return [each for each in self.open_until_s if self.until_s(each) > now_s]
