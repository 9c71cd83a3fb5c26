"""What a gateway knows of a zone without free slots."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FullZone:
    """A zone that had no free slot.

    :ivar until_s: clock reading until which its broker is only sent requests that may wait.
    :ivar wait_s: seconds until a slot is free, as estimated by its broker.
    """

    until_s: float
    wait_s: float
