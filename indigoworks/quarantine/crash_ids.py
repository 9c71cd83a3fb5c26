"""Ids of server crashes during attempts of a request, so that crashes of one cause count once.

A crash id is a number: the time window of the crash, and a checksum of the server id.
"""

from collections.abc import Iterable

from indigoworks.exchange.server_load import server_checksum

CRASH_WINDOW_S = 1.0
"""Crashes within one window of the store's steady clock count once: servers of a service or a zone
may crash together for other reasons, many of them while serving the same popular page. A frequent
harmful request still crashes servers in three windows within 3 s of its first crash. At most three
runs of it may begin later than 3 s after its third crash: this is what users require."""

LATE_DETECTION_WINDOWS = 2
"""One gateway may detect a server that stopped responding up to 1.3 s later than another (timeout
and two connection attempts): crashes of one server id fewer windows apart are the same crash, later
ones belong to another incarnation under that id."""

NO_WINDOW = -1
"""Sorts before all windows: no crash is known."""

SERVER_BITS = 32
MAX_WINDOWS = 8
"""Windows kept for one request; more add no information."""


def make_crash_id(window: int, server_id: str) -> int:
    """Return the id of a server crash within a window; the same on all gateways that detected the
    crash in this window."""
    return window << SERVER_BITS | server_checksum(server_id)


def window_of(at_s: float) -> int:
    """Return the window of a reading of the store's steady clock."""
    return int(at_s / CRASH_WINDOW_S)


def make_shared_crash_id(at_s: float, known_window: int, server_id: str) -> int:
    """Return the id of a crash at `at_s` during an attempt of any caller.

    The attempt was sent when a crash in `known_window` was known. The crashes have no common cause,
    so this one gets a later window, at most one ahead of the clock: servers that crash for other
    reasons may do so one after another within a second, and a popular page may be sent to each of
    them in turn; three windows still take more than a second.
    """
    window = window_of(at_s)
    if known_window != NO_WINDOW:
        window = max(window, min(known_window, window) + 1)
    return make_crash_id(window, server_id)


def make_caller_crash_id(at_s: float, known_window: int, server_id: str) -> int:
    """Return the id of a crash at `at_s` during an attempt of one caller.

    Attempts of one caller may follow each other immediately, so windows may run ahead of the clock.
    A server that restarted under the same id may crash again: that is another crash.
    """
    window = window_of(at_s)
    if known_window < window:
        return make_crash_id(window, server_id)
    return make_crash_id(known_window + 1, f"{server_id}/{known_window + 1}")


def last_window(crash_ids: Iterable[int]) -> int:
    """Return the last window with a crash; NO_WINDOW if there is none."""
    return max((crash_id >> SERVER_BITS for crash_id in crash_ids), default=NO_WINDOW)


def count_crashes(crash_ids: Iterable[int]) -> int:
    """Return the number of windows with a crash, each crash counted in its first window only."""
    windows: set[int] = set()
    counted: dict[int, int] = {}
    for crash_id in sorted(crash_ids):
        window, server = crash_id >> SERVER_BITS, crash_id % (1 << SERVER_BITS)
        if server not in counted or window - counted[server] >= LATE_DETECTION_WINDOWS:
            counted[server] = window
            windows.add(window)
    return len(windows)


def first_crash_per_window(crash_ids: Iterable[int]) -> frozenset[int]:
    """Return one crash id for each of the first MAX_WINDOWS windows, chosen deterministically."""
    by_window: dict[int, int] = {}
    for crash_id in sorted(crash_ids):
        by_window.setdefault(crash_id >> SERVER_BITS, crash_id)
    return frozenset(list(by_window.values())[:MAX_WINDOWS])
