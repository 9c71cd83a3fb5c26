"""Time limits of a slow response."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TransferLimits:
    """Time limits of a response after its headers, independent of its size.

    :ivar idle_timeout_s: longest time in seconds from the headers to the first chunk of the body,
        and from one chunk to the next.
    :ivar total_timeout_s: longest time in seconds from the headers to the last byte; ends a
        response that trickles without end.
    """

    idle_timeout_s: float
    total_timeout_s: float
