"""Measures moves of keys and the time that they are not served."""

import asyncio
from collections import Counter
from collections.abc import Sequence

from indigoworks_lab.bench.deployment.backend_registry import BackendRegistry
from indigoworks_lab.bench.figures.key_places import KeyPlaces
from indigoworks_lab.bench.figures.move_cause import MoveCause
from indigoworks_lab.bench.figures.ownership_source import OwnershipSource

SAMPLE_INTERVAL_S = 0.02


class OwnershipMeter:
    """Looks at the ownership of every key at a fixed interval.

    :ivar moved_keys: changes of owner, by service and cause.
    :ivar not_served_key_s: key-seconds without a server, by service.
    """

    def __init__(
        self, source: OwnershipSource, registry: BackendRegistry, keys: dict[str, KeyPlaces]
    ) -> None:
        """Prepare the meter.

        :param keys: keys of each service that is measured.
        """
        self.moved_keys: dict[str, Counter[MoveCause]] = {name: Counter() for name in keys}
        self.not_served_key_s: dict[str, float] = dict.fromkeys(keys, 0.0)
        self._source = source
        self._registry = registry
        self._keys = keys
        # The last owner that a key had: while nobody owns it, the move has not ended.
        self._last_owners: dict[str, list[str]] = {}
        self._seen: dict[str, Sequence[str]] = {}

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            for service, keys in self._keys.items():
                self._look(service, keys)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def _look(self, service: str, keys: KeyPlaces) -> None:
        missing = len(keys) - self._source.served_keys(service, keys)
        self.not_served_key_s[service] += missing * SAMPLE_INTERVAL_S
        owners = self._source.owners(service, keys)
        if self._seen.get(service) is owners:
            return
        self._seen[service] = owners
        last = self._last_owners.setdefault(service, list(owners))
        for position, owner in enumerate(owners):
            if owner and owner != last[position]:
                if last[position]:
                    self.moved_keys[service][self._cause(last[position])] += 1
                last[position] = owner

    def _cause(self, old_owner: str) -> MoveCause:
        server = self._registry.named(old_owner)
        if server.is_draining:
            return MoveCause.LEAVE
        return MoveCause.LOSS if server.is_lost else MoveCause.BALANCE
