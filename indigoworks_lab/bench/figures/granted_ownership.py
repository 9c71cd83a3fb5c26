"""Ownership under the product's control."""

from collections.abc import Sequence

from indigoworks.wire.control_pb2 import RangeRecord
from indigoworks_lab.bench.deployment.backend_registry import BackendRegistry
from indigoworks_lab.bench.deployment.bench_server import PlaceRange
from indigoworks_lab.bench.deployment.control_plane_hosts import ControlPlaneHosts
from indigoworks_lab.bench.figures.key_places import KeyPlaces


class GrantedOwnership:
    """Owners as the controllers committed them; served is what a server holds a valid grant for."""

    def __init__(self, hosts: ControlPlaneHosts, registry: BackendRegistry) -> None:
        self._hosts = hosts
        self._registry = registry
        self._owners: dict[str, tuple[int, list[str]]] = {}
        self._counts: dict[tuple[str, tuple[PlaceRange, ...]], int] = {}

    def owners(self, service: str, keys: KeyPlaces) -> Sequence[str]:
        """Return the owner of each key; see OwnershipSource."""
        state = self._hosts.newest_state()
        known = self._owners.get(service)
        if known is not None and known[0] == state.version:
            return known[1]
        found = _owners_of(state.ranges(service), keys)
        if known is not None and known[1] == found:
            found = known[1]
        self._owners[service] = (state.version, found)
        return found

    def served_keys(self, service: str, keys: KeyPlaces) -> int:
        """Return how many keys are served now; see OwnershipSource."""
        served = 0
        for server in self._registry.of_service(service):
            ranges = server.served_ranges()
            if not ranges:
                continue
            index = (service, ranges)
            if index not in self._counts:
                self._counts[index] = sum(keys.count_in(start, end) for start, end in ranges)
            served += self._counts[index]
        return served


def _owners_of(records: Sequence[RangeRecord], keys: KeyPlaces) -> list[str]:
    found: list[str] = []
    ordered = iter(sorted(records, key=lambda each: each.start))
    record = next(ordered, None)
    for place in keys.places:
        while record is not None and record.end < place:
            record = next(ordered, None)
        is_inside = record is not None and record.start <= place
        found.append(record.owner if record is not None and is_inside else "")
    return found
