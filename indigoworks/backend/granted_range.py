"""Range of keys granted to a back end."""

from dataclasses import dataclass


@dataclass(frozen=True, order=True)
class GrantedRange:
    """Range [start, end], both ends included, granted under a fencing token.

    :ivar is_releasing: the server must refuse new requests for the range, finish running ones, and
        then report the range as released.
    """

    start: int
    end: int
    token: int
    is_releasing: bool = False
