"""Body of a response that is being read, within its bounds and the budget of the process."""

from collections.abc import Awaitable, Callable

from tornado.httputil import HTTPHeaders, HTTPInputError

from indigoworks.common.bounded_http_connection import MAX_BODY_BYTES
from indigoworks.common.byte_budget import PROCESS_BUDGET
from indigoworks.common.byte_share import ByteShare, ByteUse
from indigoworks.common.exceeded_bound import ExceededBound
from indigoworks.common.held_body import HeldBody


class ResponseBody:
    """Takes the parts of a body; while the process has no room, its connection is not read.

    :param on_cut: called if the body has to end while no part of it is being taken.
    :ivar exceeded: why the body had to end; None if it had not.
    :ivar size: bytes received.
    """

    __slots__ = ("_body", "_on_cut", "exceeded", "size")

    def __init__(self, on_cut: Callable[[], None]) -> None:
        self._on_cut = on_cut
        self._body = HeldBody(PROCESS_BUDGET.share(ByteUse.UNDECLARED))
        self.exceeded: ExceededBound | None = None
        self.size = 0

    @property
    def share(self) -> ByteShare:
        """Return the share of the budget; it is to be kept as long as the body."""
        return self._body.share

    def begin(self, headers: HTTPHeaders) -> None:
        """Record the head of the response."""
        if "Content-Length" in headers:
            self.share.use = ByteUse.DECLARED
        self.share.on_cut = self._cut

    def add(self, chunk: bytes) -> Awaitable[None] | None:
        """Take a part of the body, at once or, if the result is awaitable, once there is room.

        :raises HTTPInputError: the body is too large, or has to end for lack of room.
        """
        self.size += len(chunk)
        if self.size > MAX_BODY_BYTES:
            self._exceed(ExceededBound.BODY)
        if not self.share.is_cut and self.share.take(len(chunk)):
            self._body.append(chunk)
            return None
        return self._add_later(chunk)

    def finish(self) -> None:
        """Record that the body is complete."""
        self.share.finish()

    def drop(self) -> None:
        """Drop a body that is not complete."""
        self._body.clear()

    def value(self) -> bytes:
        """Return the bytes received so far."""
        return self._body.value()

    async def _add_later(self, chunk: bytes) -> None:
        if not await self.share.wait(len(chunk)):
            self._exceed(ExceededBound.MEMORY)
        self._body.append(chunk)

    def _cut(self) -> None:
        """End the body; called by the budget."""
        self.exceeded = ExceededBound.MEMORY
        self._body.clear()
        self._on_cut()

    def _exceed(self, bound: ExceededBound) -> None:
        self.exceeded = bound
        self.drop()
        raise HTTPInputError(f"response out of bounds: {bound.value}")
