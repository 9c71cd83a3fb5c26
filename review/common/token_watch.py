"""Compares the fencing token of each grant that a server takes with those that others had."""

from collections.abc import Iterable

from key_book import KEYS
from record import Record
from stand_in_server import Target

SAMPLE_STEP = 64


class TokenWatch:
    """Keeps the highest token of each server for a sample of the keys.

    OWNER: a server takes a key with a token that isn't above all with which others had it.
    """

    def __init__(self, targets: Iterable[Target], record: Record) -> None:
        self._record = record
        self._had: dict[int, dict[str, int]] = {key: {} for key in range(0, KEYS, SAMPLE_STEP)}
        self._told: set[tuple[str, int]] = set()
        for each in targets:
            each.on_taken = self._take

    def _take(self, target: Target, first: int, last: int, token: int) -> None:
        lower: dict[str, int] = {}
        begin = (first + SAMPLE_STEP - 1) // SAMPLE_STEP * SAMPLE_STEP
        for key in range(begin, last + 1, SAMPLE_STEP):
            had = self._had[key]
            for name, other in had.items():
                if name != target.name and other >= token:
                    lower.setdefault(name, key)
            had[target.name] = max(token, had.get(target.name, 0))
        for name, key in lower.items():
            self._tell(target.name, token, name, key)

    def _tell(self, taker: str, token: int, other: str, key: int) -> None:
        if (taker, token) in self._told:
            return
        self._told.add((taker, token))
        self._record.breach(
            f"OWNER: {taker} takes key {key} with fence {token}, which {other} had with fence"
            f" {self._had[key][other]}"
        )
