"""When gateways started, and when they did not reach the store."""

from dataclasses import dataclass, field

CONTACT_S = 3.0
"""A gateway that has run, and reached the store, for so long answers for what it sends."""


@dataclass
class Outages:
    """What excuses a gateway that has not heard what the others know.

    :ivar starts_s: times at which each node's process started, after the first start.
    :ivar store_s: spans in which no gateway reached the store.
    """

    starts_s: dict[str, list[float]] = field(default_factory=dict)
    store_s: list[tuple[float, float]] = field(default_factory=list)

    def note_start(self, node: str, at_s: float) -> None:
        """Note that a process started again."""
        self.starts_s.setdefault(node, []).append(at_s)

    def is_excused(self, node: str, at_s: float) -> bool:
        """Tell whether a gateway may not know at `at_s` what the others knew before."""
        starts = self.starts_s.get(node, [])
        if any(0 <= at_s - each <= CONTACT_S for each in starts):
            return True
        return any(began - 1.0 <= at_s <= ended + CONTACT_S for began, ended in self.store_s)
