"""A series of moments at which open connections to the store of a soak go silent."""

from dataclasses import dataclass


@dataclass(frozen=True)
class SilenceSeries:
    """Times in seconds; a configuration is written after the last silence of the series.

    :ivar rested_s: connections go silent that have carried nothing for so long.
    :ivar gaps_s: times between the silences; there is one silence more.
    :ivar configured_after_s: time from the last silence to the configuration.
    """

    at_s: float
    rested_s: float
    gaps_s: tuple[float, ...]
    configured_after_s: float
