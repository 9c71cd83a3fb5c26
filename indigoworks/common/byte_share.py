"""The part of a byte budget that one message holds."""

from collections.abc import Callable
from enum import Enum
from typing import Protocol


class ByteUse(Enum):
    """What bytes are held for; decides who waits, who is refused and who is cut."""

    REQUEST = "request"
    """A request, which has not run: refused where room is short."""
    DECLARED = "declared"
    """A response that declares its length, and therefore ends: waits for room."""
    UNDECLARED = "undeclared"
    """A response that may never end: waits for room, and is cut before one of declared length."""


class ByteLender(Protocol):
    """What a share needs of its budget."""

    def take(self, share: "ByteShare", count: int) -> bool:
        """Add `count` bytes to a share; return False, and change nothing, if there is no room."""
        ...

    async def wait(self, share: "ByteShare", count: int) -> bool:
        """Wait for room and take it; return False if the message has to end instead."""
        ...

    def finish(self, share: "ByteShare") -> None:
        """Record that a message has been read completely."""
        ...

    def release(self, share: "ByteShare") -> None:
        """Take all bytes of a share back."""
        ...


class ByteShare:
    """Bytes that one message holds, from its first byte until it is sent on or dropped.

    The bytes go back to the budget with `release`, or with the last reference to the share: whoever
    keeps the message keeps its share.

    :ivar small: bytes held of those set aside for the beginning of every message.
    :ivar large: bytes held of those shared by large messages.
    :ivar taken_s: loop time of the newest bytes.
    :ivar is_reading: more bytes may follow.
    :ivar is_cut: the message has to end, for lack of room.
    :ivar on_cut: called when the budget ends the message, whose bytes are already given back.
    """

    __slots__ = (
        "__weakref__",
        "_budget",
        "is_cut",
        "is_reading",
        "large",
        "on_cut",
        "small",
        "taken_s",
        "use",
    )

    def __init__(self, budget: ByteLender, use: ByteUse) -> None:
        self._budget = budget
        self.use = use
        self.small = 0
        self.large = 0
        self.taken_s = 0.0
        self.is_reading = True
        self.is_cut = False
        self.on_cut: Callable[[], None] | None = None

    def __del__(self) -> None:
        if self.small or self.large:
            self.release()

    def take(self, count: int) -> bool:
        """Hold `count` more bytes; return False, and change nothing, if there is no room."""
        return self._budget.take(self, count)

    async def wait(self, count: int) -> bool:
        """Hold `count` more bytes once there is room; return False if the message has to end."""
        return await self._budget.wait(self, count)

    def finish(self) -> None:
        """Record that the message has been read completely."""
        self.on_cut = None
        if self.large:
            self._budget.finish(self)
        self.is_reading = False

    def release(self) -> None:
        """Give all bytes back."""
        self.on_cut = None
        self._budget.release(self)
        self.is_reading = False
