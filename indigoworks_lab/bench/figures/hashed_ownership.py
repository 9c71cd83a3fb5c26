"""Ownership under consistent hashing."""

from collections.abc import Sequence

from indigoworks_lab.bench.baseline.hashing_hosts import HashingHosts
from indigoworks_lab.bench.deployment.backend_registry import BackendRegistry
from indigoworks_lab.bench.figures.key_places import KeyPlaces


class HashedOwnership:
    """Owners as the first router's ring names them; served is what names a server that is there."""

    def __init__(self, hosts: HashingHosts, registry: BackendRegistry) -> None:
        self._hosts = hosts
        self._registry = registry
        self._owners: dict[str, tuple[object, list[str]]] = {}

    def owners(self, service: str, keys: KeyPlaces) -> Sequence[str]:
        """Return the owner of each key; see OwnershipSource."""
        ring = self._hosts.ring(service)
        known = self._owners.get(service)
        if known is not None and known[0] is ring:
            return known[1]
        found = [self._hosts.owner(service, place) for place in keys.places]
        if known is not None and known[1] == found:
            found = known[1]
        self._owners[service] = (ring, found)
        return found

    def served_keys(self, service: str, keys: KeyPlaces) -> int:
        """Return how many keys are served now; see OwnershipSource."""
        there = {
            each.identity.name for each in self._registry.of_service(service) if not each.is_lost
        }
        return sum(1 for owner in self.owners(service, keys) if owner in there)
