"""Samples of requested keys."""

from indigoworks.exchange.key_sample import KeySample

MAX_KEYS = 64
"""Most sampled keys of one service in one report; further requests are only counted."""


class KeySampler:
    """Collects requested keys between two reports."""

    def __init__(self) -> None:
        self._keys: dict[str, list[int]] = {}
        self._totals: dict[str, int] = {}

    def add(self, service: str, key: int) -> None:
        """Count a request for a key."""
        keys = self._keys.setdefault(service, [])
        if len(keys) < MAX_KEYS:
            keys.append(key)
        self._totals[service] = self._totals.get(service, 0) + 1

    def drain(self) -> tuple[KeySample, ...]:
        """Return and clear the samples collected since the last call."""
        samples = tuple(
            KeySample(service, tuple(keys), self._totals[service])
            for service, keys in self._keys.items()
        )
        self._keys = {}
        self._totals = {}
        return samples

    def has_samples(self) -> bool:
        """Return whether anything was collected."""
        return bool(self._keys)
