"""A body in memory whose bytes are counted in the budget of the process."""

from io import BytesIO

from indigoworks.common.byte_share import ByteShare


class HeldBody:
    """Collects the parts of one body without holding any byte twice.

    A list of parts would be held twice while it is joined: 128 MiB for a body of 64 MiB.
    """

    __slots__ = ("_first", "_rest", "share")

    def __init__(self, share: ByteShare) -> None:
        self.share = share
        self._first = b""
        self._rest: BytesIO | None = None

    def append(self, chunk: bytes) -> None:
        """Add a part; the caller has taken its bytes from the budget."""
        if self._rest is not None:
            self._rest.write(chunk)
        elif not self._first:
            self._first = chunk
        else:
            self._rest = BytesIO()
            self._rest.write(self._first)
            self._rest.write(chunk)
            self._first = b""

    def value(self) -> bytes:
        """Return the whole body; `BytesIO` hands out its own buffer, without a copy."""
        return self._first if self._rest is None else self._rest.getvalue()

    def clear(self) -> None:
        """Drop the parts, and give their bytes back."""
        self._first = b""
        self._rest = None
        self.share.release()
