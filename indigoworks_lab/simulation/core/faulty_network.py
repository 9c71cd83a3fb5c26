"""detangle's network, with one-way cuts, slow hosts and delayed messages."""

from random import Random

from detangle import SimLoop
from detangle._config import NetConfig
from detangle._context import host_name
from detangle.net import SimNetwork

MIN_LATENCY_S = 0.0004
MAX_LATENCY_S = 0.0030

Way = tuple[str, str]
"""Sending host and receiving host."""


class FaultyNetwork(SimNetwork):
    """A `SimNetwork` whose cuts have a direction and whose latency depends on the sender.

    A cut holds bytes back, as TCP does: they arrive after the cut ends, or the connection is
    reset after `tcp_timeout`. So every cut also makes late messages.

    :ivar delayed_messages: messages that were sent with an additional delay so far.
    :ivar held_messages: messages that met a cut so far.
    """

    def __init__(self, loop: SimLoop, config: NetConfig, random: Random) -> None:
        super().__init__(loop, config)
        self.delayed_messages = 0
        self.held_messages = 0
        self.late_ratio = 0.0
        self.max_late_s = 0.0
        self._random = random
        self._cut_ways: dict[Way, int] = {}
        self._slow_hosts: dict[str, float] = {}

    def cut_way(self, source: str, target: str) -> None:
        """Hold back what `source` sends to `target`; cuts of one way add up."""
        way = (source, target)
        self._cut_ways[way] = self._cut_ways.get(way, 0) + 1

    def heal_way(self, source: str, target: str) -> None:
        """End one cut of the way."""
        way = (source, target)
        left = self._cut_ways.pop(way, 0) - 1
        if left > 0:
            self._cut_ways[way] = left

    def slow_down(self, host: str, delay_s: float) -> None:
        """Delay each message that `host` sends by up to `delay_s`; 0 ends it."""
        if delay_s > 0:
            self._slow_hosts[host] = delay_s
        else:
            self._slow_hosts.pop(host, None)

    def reachable(self, a: str, b: str) -> bool:
        """Tell whether bytes of host `a` reach host `b` now."""
        if a == b or not self._cut_ways or (a, b) not in self._cut_ways:
            return True
        self.held_messages += 1
        return False

    def latency(self) -> float:
        """Draw the delay of one message of the host that runs now, in seconds."""
        return self.latency_from(host_name())

    def latency_from(self, source: str) -> float:
        """Draw the delay of one message of host `source`, in seconds."""
        delay_s = self._random.uniform(MIN_LATENCY_S, MAX_LATENCY_S)
        slow_s = self._slow_hosts.get(source)
        if slow_s is not None:
            delay_s += self._random.uniform(0, slow_s)
            self.delayed_messages += 1
        if self.late_ratio and self._random.random() < self.late_ratio:
            delay_s += self._random.uniform(0, self.max_late_s)
            self.delayed_messages += 1
        return delay_s

    def reset_connections(self, host: str, port: int | None = None) -> None:
        """Reset the connections of a host, as its kernel does when a process there dies.

        :param port: only those whose end on `host` has this listening port; None for all.
        """
        for connection in list(self._connections):
            if any(_is_end(side, host, port) for side in connection.sides()):
                connection.reset(ConnectionResetError(104, "Connection reset by peer"))


def _is_end(side: object, host: str, port: int | None) -> bool:
    sockname: tuple[str, int] = side.sockname  # type: ignore[attr-defined]
    return sockname[0] == host and (port is None or sockname[1] == port)
