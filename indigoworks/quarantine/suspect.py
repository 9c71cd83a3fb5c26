"""A request in whose hands servers ended."""

from dataclasses import dataclass, replace

from indigoworks.quarantine.request_mark import RequestMark

HARM_LIMIT = 3
"""Servers that end one after the other under a request, none of whose runs ends well in between,
before it is refused. A server that ends has up to ten requests in hand, and one of those may meet a
second such server by chance. Beside 60 servers that ended for other reasons, ten of 40 at a time,
two tries of 7,200, once three, were refused for a moment: of a page that one caller read 40 times a
second (simulated, scenario of bursts)."""

MAX_CRASHES = 8
"""Runs that are kept of one request; more than HARM_LIMIT tell nothing new."""


@dataclass(frozen=True, slots=True)
class Suspect:
    """What is known of one request; gateways merge what they know, in any order and any number of
    times, and end with the same.

    :ivar generation: grows each time that a run ends well, which clears the request: what is known
        of an earlier generation counts no more.
    :ivar crashes: random ids of the runs of this generation under which a server ended.
    :ivar crashed_s: clock reading of the latest of them.
    :ivar seen_s: clock reading of the latest crash, clearing or refusal.
    """

    mark: RequestMark
    generation: int
    crashes: frozenset[int]
    crashed_s: float
    seen_s: float

    @property
    def is_refused(self) -> bool:
        """Tell whether the request is sent to no server any more."""
        return len(self.crashes) >= HARM_LIMIT

    def is_cleared_since(self, at_s: float) -> bool:
        """Tell whether a run ended well after `at_s`, and none ended a server since."""
        return self.generation > 0 and not self.crashes and self.seen_s > at_s

    def crashed(self, crash: int, at_s: float) -> "Suspect":
        """Return the same after another run of this id that ended a server."""
        crashes = _bounded(self.crashes | {crash})
        return replace(self, crashes=crashes, crashed_s=at_s, seen_s=at_s)

    def cleared(self, at_s: float) -> "Suspect":
        """Return the same after a run that ended well."""
        return Suspect(self.mark, self.generation + 1, frozenset(), float("-inf"), at_s)

    def seen(self, at_s: float) -> "Suspect":
        """Return the same after a try of it came."""
        return replace(self, seen_s=max(self.seen_s, at_s))

    def merged(self, other: "Suspect") -> "Suspect":
        """Return what both know."""
        if self.generation != other.generation:
            newer = max(self, other, key=lambda each: each.generation)
            return newer.seen(max(self.seen_s, other.seen_s))
        return Suspect(
            self.mark,
            self.generation,
            _bounded(self.crashes | other.crashes),
            max(self.crashed_s, other.crashed_s),
            max(self.seen_s, other.seen_s),
        )


def _bounded(crashes: frozenset[int]) -> frozenset[int]:
    """Return the same ones wherever the same are known."""
    return crashes if len(crashes) <= MAX_CRASHES else frozenset(sorted(crashes)[:MAX_CRASHES])
