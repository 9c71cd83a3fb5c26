"""Paths between machines: cuts, latency, and when they were last healed."""

from random import Random

MIN_LATENCY_S = 0.0003
MAX_LATENCY_S = 0.004

THAW_SLACK_S = 0.3
"""An order that arrives so soon after its sender was thawed or a path healed is not counted."""


class Links:
    """Both directions of a path are cut together; cuts of one path add up.

    A machine's name is that of its node, the address of its server, or STORE.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._cuts: dict[frozenset[str], int] = {}
        self._dark: dict[str, int] = {}
        self._healed_s: dict[frozenset[str], float] = {}
        self._thawed_s: dict[str, float] = {}
        self.slow_s: dict[str, float] = {}
        self.datagram_loss = 0.02

    def latency_s(self, source: str, target: str) -> float:
        """Draw the delay of one message."""
        delay_s = self._random.uniform(MIN_LATENCY_S, MAX_LATENCY_S)
        for name in (source, target):
            delay_s += self._random.uniform(0.0, self.slow_s.get(name, 0.0))
        return delay_s

    def loses_datagram(self) -> bool:
        """Draw whether a datagram is lost."""
        return self._random.random() < self.datagram_loss

    def is_cut(self, source: str, target: str) -> bool:
        """Tell whether nothing passes between two machines."""
        if source in self._dark or target in self._dark:
            return True
        return frozenset((source, target)) in self._cuts

    def cut(self, source: str, target: str) -> None:
        """Cut a path."""
        path = frozenset((source, target))
        self._cuts[path] = self._cuts.get(path, 0) + 1

    def heal(self, source: str, target: str, now_s: float) -> None:
        """End one cut of a path."""
        path = frozenset((source, target))
        left = self._cuts.pop(path, 0) - 1
        if left > 0:
            self._cuts[path] = left
            return
        self._healed_s[path] = now_s

    def darken(self, name: str) -> None:
        """Cut a machine from all others."""
        self._dark[name] = self._dark.get(name, 0) + 1

    def lighten(self, name: str, now_s: float) -> None:
        """End one darkening of a machine."""
        left = self._dark.pop(name, 0) - 1
        if left > 0:
            self._dark[name] = left
            return
        self._thawed_s[name] = now_s

    def note_thaw(self, name: str, now_s: float) -> None:
        """Take note that a machine that stood still runs again."""
        self._thawed_s[name] = now_s

    def is_excused(self, source: str, target: str, now_s: float) -> bool:
        """Tell whether an order that arrives now was held up in a way that is not counted."""
        healed_s = self._healed_s.get(frozenset((source, target)), float("-inf"))
        thawed_s = max(self._thawed_s.get(each, float("-inf")) for each in (source, target))
        return now_s - max(healed_s, thawed_s) <= THAW_SLACK_S
