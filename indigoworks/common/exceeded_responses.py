"""Counts and logs responses that exceeded a bound."""

from eliot import log_message

from indigoworks.common.address import Address
from indigoworks.common.exceeded_bound import ExceededBound


class ExceededResponses:
    """Responses that exceeded a bound, by the address of their sender and the bound.

    :ivar counts: number of them since the process started.
    """

    def __init__(self) -> None:
        self.counts: dict[tuple[str, str], int] = {}

    def record(self, sender: Address, bound: ExceededBound, taken_bytes: int) -> None:
        """Count and log a response that was cut after `taken_bytes` of its body."""
        key = str(sender), bound.value
        self.counts[key] = self.counts.get(key, 0) + 1
        log_message(
            message_type="response:exceeded",
            level="WARNING",
            address=key[0],
            bound=bound.value,
            taken_bytes=taken_bytes,
        )


EXCEEDED_RESPONSES = ExceededResponses()
"""Those of this process, whichever part read them."""
