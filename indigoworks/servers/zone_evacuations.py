"""Zones whose servers an operator empties, as this process follows them."""

from collections.abc import Iterable

from eliot import log_message

from indigoworks.common.clock import Clock

WRITTEN_AGAIN_S = 5.0
"""The operator has written again what a copy of the store lacks within this time: as long as an
evacuation may take to be in force everywhere."""


class ZoneEvacuations:
    """Evacuated zones, and when the evacuations of the others ended.

    Times are readings of the process's clock, in seconds.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._begun_s: dict[str, float] = {}
        self._ended_s: dict[str, float] = {}
        self._kept_until_s: dict[str, float] = {}

    # ---- changes ----

    def keep_all(self) -> None:
        """Keep the evacuations that are known for a while, whatever a reading lacks.

        The store has come back from a copy; the operator writes again what the copy does not hold.
        """
        until_s = self._clock.now() + WRITTEN_AGAIN_S
        self._kept_until_s = dict.fromkeys(self._begun_s, until_s)
        if self._begun_s:
            log_message(message_type="zone:evacuations_kept", zones=sorted(self._begun_s))

    def end_kept(self, zones: Iterable[str]) -> None:
        """End the evacuations that were kept for long enough and are not among `zones`."""
        written = set(zones)
        now_s = self._clock.now()
        for zone in [each for each, until_s in self._kept_until_s.items() if until_s <= now_s]:
            del self._kept_until_s[zone]
            if zone not in written:
                self.end(zone)

    def begin(self, zone: str) -> None:
        """Take note that a zone is to be empty from now on."""
        if zone in self._begun_s:
            return
        self._begun_s[zone] = self._clock.now()
        log_message(message_type="zone:evacuated", level="WARNING", zone=zone)

    def end(self, zone: str) -> None:
        """Take note that the servers of a zone may work again."""
        self._kept_until_s.pop(zone, None)
        if self._begun_s.pop(zone, None) is None:
            return
        self._ended_s[zone] = self._clock.now()
        log_message(message_type="zone:in_use", zone=zone)

    def keep_only(self, zones: Iterable[str]) -> None:
        """Go by a whole reading: these zones are evacuated, and no others."""
        wanted = set(zones)
        for zone in [each for each in self._begun_s if each not in wanted]:
            if zone not in self._kept_until_s:
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
