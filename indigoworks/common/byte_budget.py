"""The budget of buffered bytes of this process."""

import asyncio
from weakref import WeakKeyDictionary

from indigoworks.common.byte_share import ByteShare, ByteUse

MIB = 1024 * 1024

DEFAULT_MEMORY_MB = 160.0
"""Memory of the smallest machine, assumed if the settings name none."""

MEMORY_SHARE = 0.45
"""Share of the machine's memory for buffered bytes: 72 of 160 MiB. The process itself takes 50."""

MOST_BYTES = 72 * MIB
"""Budget of large machines too: a process may grow by 64 MB, whatever the machine has."""

SMALL_SHARE = 1 / 9
"""Share set aside for the first SMALL_BYTES of each message, 8 of 72 MiB: a few endless responses
leave other requests their room."""

SMALL_BYTES = 64 * 1024

OPEN_SHARE = 1 / 4
"""Share of the bytes for large messages that all may take; the rest goes to the oldest response
alone, so that large ones end one after another instead of each waiting for the others. With a half,
one of four answers of 24 MiB in chunks was cut."""

UNDECLARED_SHARE = 11 / 16
"""Share of the bytes for large messages that a response without a declared length may fill, 44 of
64 MiB: with the 8 MiB for small messages, what connections have read ahead and holes in the heap,
endless responses stay under 64 MB. With 48 MiB a process grew by 62.7 MB."""

STALLED_S = 0.5
"""A response that has brought no bytes for this long no longer goes before younger ones."""


class ByteBudget:
    """Counts the bytes of all messages in hand, and decides who gets the next ones.

    Requests, which have not run, are refused where room is short. Responses wait: while one waits,
    its socket is not read. A response is cut only if no other way leaves room for the oldest one.

    :ivar small_used: bytes held of those set aside for the beginning of every message.
    :ivar large_used: bytes held of those shared by large messages.
    :ivar refused: requests refused for lack of room.
    :ivar cut: responses cut for lack of room.
    """

    def __init__(self, memory_mb: float = DEFAULT_MEMORY_MB) -> None:
        self.small_used = 0
        self.large_used = 0
        self.refused = 0
        self.cut = 0
        self._draining = 0
        # Weak: a response that its reader drops gives its bytes back when it is collected.
        self._readers: WeakKeyDictionary[ByteShare, None] = WeakKeyDictionary()
        self._waiting: dict[ByteShare, tuple[int, asyncio.Future[bool]]] = {}
        self.set_memory(memory_mb)

    def set_memory(self, memory_mb: float) -> None:
        """Set the machine's memory, in MiB."""
        self.limit = min(MOST_BYTES, int(memory_mb * MIB * MEMORY_SHARE))
        self._small_limit = int(self.limit * SMALL_SHARE)
        self._large_limit = self.limit - self._small_limit
        self._open_limit = int(self._large_limit * OPEN_SHARE)
        self._undeclared_limit = int(self._large_limit * UNDECLARED_SHARE)

    @property
    def waiting(self) -> int:
        """Return the number of responses that wait for room."""
        return len(self._waiting)

    def share(self, use: ByteUse) -> ByteShare:
        """Return an empty share for a new message."""
        return ByteShare(self, use)

    def hold(self, count: int) -> ByteShare:
        """Return a share for a complete response that this process made, whether or not there is
        room: its bytes are there already."""
        share = ByteShare(self, ByteUse.DECLARED)
        self.large_used += count
        share.large = count
        share.finish()
        return share

    def take(self, share: ByteShare, count: int) -> bool:
        """Add `count` bytes to a share; return False, and change nothing, if there is no room."""
        if share.small + count <= SMALL_BYTES and not share.large:
            is_request = share.use is ByteUse.REQUEST
            limit = self._small_limit >> 1 if is_request else self._small_limit
            if self.small_used + count <= limit:
                self.small_used += count
                share.small += count
                return True
        return self._take_large(share, count)

    async def wait(self, share: ByteShare, count: int) -> bool:
        """Wait for room and take it; return False if the message has to end instead."""
        if share.is_cut:
            return False
        loop = asyncio.get_running_loop()
        granted: asyncio.Future[bool] = loop.create_future()
        if share not in self._readers:
            self._readers[share] = None
        self._waiting[share] = count, granted
        timer = loop.call_later(STALLED_S, self._grant)
        try:
            self._grant()
            return await granted
        finally:
            timer.cancel()
            if self._waiting.get(share) == (count, granted):
                del self._waiting[share]

    def finish(self, share: ByteShare) -> None:
        """Record that a message has been read completely; its bytes stay until they are sent."""
        self._readers.pop(share, None)
        if share.use is not ByteUse.REQUEST:
            self._draining += share.large
        self._grant_soon()

    def release(self, share: ByteShare) -> None:
        """Take all bytes of a share back."""
        self._readers.pop(share, None)
        self.small_used -= share.small
        self.large_used -= share.large
        if not share.is_reading and share.use is not ByteUse.REQUEST:
            self._draining -= share.large
        share.small = share.large = 0
        self._grant_soon()

    def _grant_soon(self) -> None:
        """Let waiting responses go on, from the loop: a share may be collected at any time."""
        for _, granted in self._waiting.values():
            granted.get_loop().call_soon(self._grant)
            return

    def _take_large(self, share: ByteShare, count: int) -> bool:
        if self.large_used + count > self._limit_of(share):
            return False
        is_known = share in self._readers
        self.large_used += count
        share.large += count
        if share.use is not ByteUse.REQUEST:
            share.taken_s = asyncio.get_running_loop().time()
            if not is_known:
                self._readers[share] = None
        return True

    def _limit_of(self, share: ByteShare) -> int:
        """Return up to which sum of all large messages this one may grow."""
        if share.use is ByteUse.REQUEST:
            is_alone = self.large_used == share.large
            return self._large_limit if is_alone else self._open_limit
        if self._oldest() not in (share, None):
            return self._open_limit
        is_declared = share.use is ByteUse.DECLARED
        return self._large_limit if is_declared else self._undeclared_limit

    def _oldest(self) -> ByteShare | None:
        """Return the oldest response that is being read and has not stalled."""
        if not self._readers:
            return None
        earliest_s = asyncio.get_running_loop().time() - STALLED_S
        for share in self._readers:
            if share in self._waiting or share.taken_s >= earliest_s:
                return share
        return None

    def _grant(self) -> None:
        """Let responses go on for which there is room; make room for the oldest one."""
        while self._waiting:
            for share, (count, granted) in list(self._waiting.items()):
                if self._take_large(share, count):
                    self._answer(share, granted, True)
            oldest = self._oldest()
            if oldest is None or oldest not in self._waiting or self._draining:
                return
            self._cut(self._victim(oldest))

    def _victim(self, oldest: ByteShare) -> ByteShare:
        """Return the response that ends, so that the others can go on."""
        others = [each for each in self._readers if each is not oldest and each.large]
        if oldest.use is ByteUse.UNDECLARED or not others:
            return oldest
        return max(others, key=_cut_order)

    def _cut(self, share: ByteShare) -> None:
        self.cut += 1
        share.is_cut = True
        waiting = self._waiting.get(share)
        # One that waits learns of it there.
        on_cut = share.on_cut if waiting is None else None
        if waiting is not None:
            self._answer(share, waiting[1], False)
        share.release()
        if on_cut is not None:
            on_cut()

    def _answer(self, share: ByteShare, granted: "asyncio.Future[bool]", is_room: bool) -> None:
        del self._waiting[share]
        if not granted.done():
            granted.set_result(is_room)


def _cut_order(share: ByteShare) -> tuple[bool, int]:
    """Order responses: those that may be endless first, then the largest."""
    return share.use is ByteUse.UNDECLARED, share.large


PROCESS_BUDGET = ByteBudget()
"""The budget of this process: its memory is one, however many parts read into it."""
