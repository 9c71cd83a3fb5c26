"""A server takes a key only under a token above all with which other servers had it."""

from indigoworks.ownership.key_grant import KeyGrant
from indigoworks_lab.control_simulation.interval_map import IntervalMap
from indigoworks_lab.control_simulation.violation_list import ViolationList

CHECKER = "token"


class TokenChecker:
    """Remembers the highest token of each key by server, dead ones included."""

    def __init__(self, violations: ViolationList) -> None:
        self._violations = violations
        self._highest: dict[str, IntervalMap[int]] = {}

    def taking(self, server_id: str, grant: KeyGrant) -> None:
        """A server takes a grant that counts."""
        for other, highest in self._highest.items():
            if other == server_id:
                continue
            for piece in highest.pieces(grant.first, grant.last):
                if piece.value >= grant.token:
                    self._violations.add(
                        CHECKER,
                        f"{server_id} takes keys {piece.first}-{piece.last} under {grant.token};"
                        f" {other} had them under {piece.value}",
                    )
        own = self._highest.setdefault(server_id, IntervalMap(0))
        own.set(grant.first, grant.last, grant.token)
