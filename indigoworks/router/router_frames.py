"""Handles messages of the internal protocol that are sent to a router."""

from indigoworks.common.clock import Clock
from indigoworks.common.in_progress_counter import InProgressCounter
from indigoworks.router.forward_service import ForwardService
from indigoworks.router.view_follower import ViewFollower
from indigoworks.wire import control_pb2
from indigoworks.wire.control_pb2 import Frame


class RouterFrames:
    """Passes each message to the component that handles it."""

    def __init__(
        self,
        member: control_pb2.Member,
        service: ForwardService,
        follower: ViewFollower,
        in_progress: InProgressCounter,
        clock: Clock,
    ) -> None:
        self._member = member
        self._service = service
        self._follower = follower
        self._in_progress = in_progress
        self._clock = clock

    async def handle(self, frame: Frame) -> Frame:
        """Handle a message and return the reply."""
        payload = frame.WhichOneof("payload")
        if payload == "forward_request":
            with self._in_progress.track():
                return await self._service.forward(frame.forward_request)
        if payload == "cancel_request":
            return await self._service.cancel(frame.cancel_request)
        if payload == "identity_request":
            return self._identity()
        return _unsupported(payload or "empty")

    def _identity(self) -> Frame:
        view = self._follower.latest
        generation = 0 if view is None else view.generation
        reply = control_pb2.IdentityReply(
            member=self._member, generation=generation, clock_s=self._clock.now()
        )
        return Frame(identity_reply=reply)


def _unsupported(payload: str) -> Frame:
    return Frame(
        error=control_pb2.ErrorReply(
            kind="unsupported_message",
            message=f"A router does not answer {payload} messages.",
            remedy="Send this message to a controller.",
        )
    )
