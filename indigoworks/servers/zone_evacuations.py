"""Zones whose servers an operator empties, as this process follows them."""

from collections.abc import Iterable

from eliot import log_message

from indigoworks.common.clock import Clock


class ZoneEvacuations:
    """Evacuated zones, and when the evacuations of the others ended.

    Times are readings of the process's clock, in seconds.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._begun_s: dict[str, float] = {}
        self._ended_s: dict[str, float] = {}

    # ---- changes ----

    def begin(self, zone: str) -> None:
        """Take note that a zone is to be empty from now on."""
        if zone in self._begun_s:
            return
        self._begun_s[zone] = self._clock.now()
        log_message(message_type="zone:evacuated", level="WARNING", zone=zone)

    def end(self, zone: str) -> None:
        """Take note that the servers of a zone may work again."""
        if self._begun_s.pop(zone, None) is None:
            return
        self._ended_s[zone] = self._clock.now()
        log_message(message_type="zone:in_use", zone=zone)

    def keep_only(self, zones: Iterable[str]) -> None:
        """Go by a whole reading: these zones are evacuated, and no others."""
        wanted = set(zones)
        for zone in [each for each in self._begun_s if each not in wanted]:
            self.end(zone)
        for zone in wanted:
            self.begin(zone)

    # ---- questions ----

    def is_evacuated(self, zone: str) -> bool:
        """Tell whether servers of the zone must get no new work."""
        return zone in self._begun_s

    def evacuated_for_s(self, zone: str) -> float:
        """Return how long this process has known that the zone is evacuated; 0: it is not."""
        begun_s = self._begun_s.get(zone)
        return 0.0 if begun_s is None else self._clock.now() - begun_s

    def in_use_for_s(self, zone: str) -> float:
        """Return the time since the zone's last evacuation ended; infinity: none did."""
        return self._clock.now() - self._ended_s.get(zone, float("-inf"))

    def has_ended_within(self, duration_s: float) -> bool:
        """Tell whether the evacuation of any zone ended so short a time ago."""
        return any(self.in_use_for_s(zone) < duration_s for zone in self._ended_s)

    def zones(self) -> tuple[str, ...]:
        """Return the evacuated zones, by name."""
        return tuple(sorted(self._begun_s))
