"""The selector of a loop on virtual time: waiting moves the clock and takes no time."""


class VirtualSelector:
    """Stands where an event loop waits for sockets; there are none.

    :ivar now_s: virtual time, in seconds.
    """

    def __init__(self) -> None:
        self.now_s = 0.0

    def select(self, timeout_s: float | None) -> list[object]:
        """Move the clock by `timeout_s`.

        :raises RuntimeError: nothing is left that could ever run.
        """
        if timeout_s is None:
            raise RuntimeError("all tasks wait and no timer is set")
        if timeout_s > 0:
            self.now_s += timeout_s
        return []

    def close(self) -> None:
        """Close nothing."""
