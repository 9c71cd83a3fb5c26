"""Zones that an operator evacuates, as this process follows them in the store."""

from collections.abc import Iterable

from eliot import log_message

from indigoworks.common.clock import Clock

RESTORE_S = 5.0
"""Time in which the operator writes again what a restored copy of the store lacks: as long as an
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
        """Keep the known evacuations for a while, even if a read does not return them.

        The store was restored from a copy; the operator writes again what the copy lacks.
        """
        until_s = self._clock.now() + RESTORE_S
        self._kept_until_s = dict.fromkeys(self._begun_s, until_s)
        if self._begun_s:
            log_message(message_type="zone:evacuations_kept", zones=sorted(self._begun_s))

    def end_kept(self, zones: Iterable[str]) -> None:
        """End the evacuations that were kept for RESTORE_S and are not among `zones`."""
        written = set(zones)
        now_s = self._clock.now()
        for zone in [each for each, until_s in self._kept_until_s.items() if until_s <= now_s]:
            del self._kept_until_s[zone]
            if zone not in written:
                self.end(zone)

    def begin(self, zone: str) -> None:
        """Record that a zone is evacuated from now on."""
        if zone in self._begun_s:
            return
        self._begun_s[zone] = self._clock.now()
        log_message(message_type="zone:evacuated", level="WARNING", zone=zone)

    def end(self, zone: str) -> None:
        """Record that the evacuation of a zone ended."""
        self._kept_until_s.pop(zone, None)
        if self._begun_s.pop(zone, None) is None:
            return
        self._ended_s[zone] = self._clock.now()
        log_message(message_type="zone:in_use", zone=zone)

    def keep_only(self, zones: Iterable[str]) -> None:
        """Apply a full read: these zones are evacuated, and no others."""
        wanted = set(zones)
        for zone in [each for each in self._begun_s if each not in wanted]:
            if zone not in self._kept_until_s:
                self.end(zone)
        for zone in wanted:
            self.begin(zone)

    # ---- queries ----

    def is_evacuated(self, zone: str) -> bool:
        """Return whether the zone is evacuated, so that its servers get no new requests."""
        return zone in self._begun_s

    def evacuated_for_s(self, zone: str) -> float:
        """Return the seconds for which the zone has been known as evacuated; 0: it is not."""
        begun_s = self._begun_s.get(zone)
        return 0.0 if begun_s is None else self._clock.now() - begun_s

    def in_use_for_s(self, zone: str) -> float:
        """Return the seconds since the zone's last evacuation ended; infinity: none did."""
        return self._clock.now() - self._ended_s.get(zone, float("-inf"))

    def has_ended_within(self, duration_s: float) -> bool:
        """Return whether the evacuation of any zone ended within `duration_s`."""
        return any(self.in_use_for_s(zone) < duration_s for zone in self._ended_s)

    def zones(self) -> tuple[str, ...]:
        """Return the evacuated zones, by name."""
        return tuple(sorted(self._begun_s))
