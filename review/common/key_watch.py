"""Watches which servers hold the same keys at the same time."""

import asyncio
import time
from collections.abc import Iterable

from key_book import KEYS
from record import Record
from stand_in_server import Target

STEP_S = 0.02
SAMPLES = range(0, KEYS, 128)
MAX_OVERLAP_S = 0.5
LATE_STEP_S = 0.2


class KeyWatch:
    """Looks at a sample of the keys all the time; OWNER allows half a second of overlap.

    A look that comes late, since this process was busy, ends all spans: it proves nothing.
    """

    def __init__(self, targets: Iterable[Target], record: Record) -> None:
        self._targets = [each for each in targets if each.is_keyed]
        self._record = record
        self._since: dict[tuple[str, str], float] = {}
        self._told: set[tuple[str, str]] = set()

    async def run(self) -> None:
        """Watch until cancelled."""
        last_s = time.monotonic()
        while True:
            await asyncio.sleep(STEP_S)
            now_s = time.monotonic()
            if now_s - last_s > LATE_STEP_S:
                self._since.clear()
            last_s = now_s
            self._look(now_s)

    def _look(self, now_s: float) -> None:
        shared: dict[tuple[str, str], int] = {}
        up = [each for each in self._targets if each.is_up]
        for key in SAMPLES:
            holders = [each.name for each in up if each.book.until_s(key) > now_s]
            if len(holders) > 1:
                shared.setdefault((holders[0], holders[1]), key)
        self._since = {each: self._since.get(each, now_s) for each in shared}
        for pair, since_s in self._since.items():
            if now_s - since_s > MAX_OVERLAP_S and pair not in self._told:
                self._told.add(pair)
                self._tell(pair, shared[pair], now_s - since_s)

    def _tell(self, pair: tuple[str, str], key: int, held_s: float) -> None:
        tokens = [each.book.token(key) for each in self._targets if each.name in pair]
        self._record.breach(
            f"OWNER: {pair[0]} and {pair[1]} both hold key {key} for {held_s:.3f} s,"
            f" with the fences {tokens}"
        )
