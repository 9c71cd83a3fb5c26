"""State of one key in a stand-in back end."""

from dataclasses import dataclass, replace

RECENT_BOOKINGS = 16


@dataclass(frozen=True)
class KeyState:
    """Value and bookings of one key.

    :ivar booking_count: bookings since the state began.
    :ivar recent_bookings: request ids of the newest bookings, oldest first.
    """

    value: bytes = b""
    booking_count: int = 0
    recent_bookings: tuple[str, ...] = ()

    def with_value(self, value: bytes) -> "KeyState":
        """Return this state with another value."""
        return replace(self, value=value)

    def with_booking(self, request_id: str) -> "KeyState":
        """Return this state with one more booking."""
        recent = (*self.recent_bookings, request_id)[-RECENT_BOOKINGS:]
        return replace(self, booking_count=self.booking_count + 1, recent_bookings=recent)
