"""Limits of an answer that is long in coming."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TransferLimits:
    """How long an answer may take from its headers on; how large it is does not matter.

    :ivar silence_s: longest time, in seconds, from the headers to the first piece of the body, and
        from one piece to the next.
    :ivar whole_s: longest time, in seconds, from the headers to the last byte: it ends an answer
        that trickles without end.
    """

    idle_timeout_s: float
    total_timeout_s: float
