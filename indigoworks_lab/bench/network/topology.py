"""Delays between the hosts of an installation."""

CLIENT_ZONE = "clients"


class Topology:
    """Zones, the hosts in them, and the one-way delays between them."""

    def __init__(self, within_zone_s: float, between_zones_s: float, to_clients_s: float) -> None:
        """Set the one-way delays, in seconds."""
        self._within_zone_s = within_zone_s
        self._between_zones_s = between_zones_s
        self._to_clients_s = to_clients_s
        self._zones: dict[str, str] = {}

    def place(self, host: str, zone: str) -> None:
        """Put a host into a zone."""
        self._zones[host] = zone

    def zone_of(self, host: str) -> str:
        """Return the zone of a host; a host that was never placed belongs to the clients."""
        return self._zones.get(host, CLIENT_ZONE)

    def delay_s(self, source: str, target: str) -> float:
        """Return the one-way delay from one host to another, in seconds."""
        source_zone = self.zone_of(source)
        target_zone = self.zone_of(target)
        if CLIENT_ZONE in (source_zone, target_zone):
            return self._to_clients_s
        if source_zone == target_zone:
            return self._within_zone_s
        return self._between_zones_s
