"""What a simulated machine asks of gateways, and what reached it in spite of that."""

from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(frozen=True)
class Arrival:
    """A request that reached a machine.

    :ivar sent_s: when its caller sent it.
    :ivar gateway: life of the gateway that passed it on.
    """

    at_s: float
    sent_s: float
    gateway: str
    server_id: str
    target: str = ""


@dataclass(frozen=True)
class Wish:
    """An answer that asked a gateway for something.

    :ivar rest_s: 0: for no rest.
    """

    at_s: float
    gateway: str
    server_id: str
    rest_s: float
    is_leaving: bool


@dataclass(frozen=True)
class LimitChange:
    """From `at_s` on a machine takes `per_s` requests a second; None: it names no limit."""

    at_s: float
    per_s: float | None


@dataclass
class MachineWishes:
    """What a machine asks for now; all that arrived and all that it asked for so far.

    :ivar rest_s: turns each request away and asks for so much rest; 0: it runs them.
    :ivar is_leaving: says in each answer that it leaves.
    :ivar turns_away: tells which gateways are turned away.
    :ivar limit_per_s: names this limit in each answer; None: none.
    :ivar limits: every change of that.
    :ivar told_s: when each gateway was told of a limit first, by its life and the server's id.
    """

    rest_s: float = 0.0
    is_leaving: bool = False
    turns_away: Callable[[str], bool] = lambda gateway: True
    arrivals: list[Arrival] = field(default_factory=list)
    asked: list[Wish] = field(default_factory=list)
    limit_per_s: float | None = None
    limits: list[LimitChange] = field(default_factory=list)
    told_s: dict[tuple[str, str], float] = field(default_factory=dict)

    def set_limit(self, at_s: float, per_s: float | None) -> None:
        """Name another limit from now on."""
        self.limit_per_s = per_s
        self.limits.append(LimitChange(at_s, per_s))

    def note_limit(self, at_s: float, gateway: str, server_id: str) -> None:
        """Note that an answer tells a gateway of the limit."""
        self.told_s.setdefault((gateway, server_id), at_s)

    def asks_rest(self, gateway: str) -> bool:
        """Tell whether a request of a gateway is turned away."""
        return self.rest_s > 0 and self.turns_away(gateway)

    def note_answer(self, at_s: float, gateway: str, server_id: str, turns_away: bool) -> None:
        """Note an answer that goes to a gateway now; only one that turns away asks for rest."""
        rest_s = self.rest_s if turns_away else 0.0
        if rest_s > 0 or self.is_leaving:
            self.asked.append(Wish(at_s, gateway, server_id, rest_s, self.is_leaving))
