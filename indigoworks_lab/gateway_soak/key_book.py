"""What a server holds of its keys, by its own clock."""

from dataclasses import dataclass, field
from itertools import count

from indigoworks_lab.control_simulation.interval_map import IntervalMap

NEVER_S = float("-inf")


@dataclass(frozen=True, slots=True)
class KeyLease:
    """A hold of a key under a token until `until_s`."""

    token: int
    until_s: float


NOTHING = KeyLease(0, NEVER_S)


@dataclass(slots=True)
class KeyWork:
    """A request that runs on a key; `lease` is that which it runs under."""

    key: int
    lease: KeyLease


@dataclass
class KeyBook:
    """Grants, releases and work of one life of a server.

    :ivar forgets_release_tokens: the token of a release does not count as seen.
    """

    forgets_release_tokens: bool = False
    _held: IntervalMap[KeyLease] = field(default_factory=lambda: IntervalMap(NOTHING))
    _seen: IntervalMap[int] = field(default_factory=lambda: IntervalMap(0))
    _work: dict[int, KeyWork] = field(default_factory=dict)
    _numbers: "count[int]" = field(default_factory=count)

    def take(self, first: int, last: int, token: int, until_s: float) -> bool:
        """Take a grant; False where a higher token was seen on one of the keys."""
        if any(each.value > token for each in self._seen.pieces(first, last)):
            return False
        lease = KeyLease(token, until_s)
        self._held.set(first, last, lease)
        self._see(first, last, token)
        for work in self._work.values():
            if first <= work.key <= last:
                work.lease = lease
        return True

    def release(self, first: int, last: int, token: int) -> None:
        """Hold the keys no more."""
        self._held.set(first, last, NOTHING)
        if not self.forgets_release_tokens:
            self._see(first, last, token)

    def _see(self, first: int, last: int, token: int) -> None:
        for piece in list(self._seen.pieces(first, last)):
            if piece.value < token:
                self._seen.set(piece.first, piece.last, token)

    def lease(self, key: int) -> KeyLease:
        """Return the hold of a key, which may have ended."""
        return self._held.get(key)

    def holds_any(self, now_s: float) -> bool:
        """Tell whether any key is held."""
        return any(each.value.until_s > now_s for each in self._held.pieces())

    def begin(self, key: int) -> int:
        """Begin work on a key that is held; returns its number."""
        number = next(self._numbers)
        self._work[number] = KeyWork(key, self._held.get(key))
        return number

    def work_until_s(self, number: int) -> float:
        """Return when the hold under which work runs ends."""
        return self._work[number].lease.until_s

    def end(self, number: int) -> None:
        """Work has ended."""
        del self._work[number]

    def is_worked_on(self, first: int, last: int) -> bool:
        """Tell whether work runs on any of the keys."""
        return any(first <= each.key <= last for each in self._work.values())
