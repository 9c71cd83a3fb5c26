"""Views that the hollow routers of one process share."""

from dataclasses import dataclass

from indigoworks.router.routing_view import RoutingView
from indigoworks.wire.control_pb2 import ViewReply
from indigoworks_lab.scale.view_summary import ViewSummary, summarise

MAX_KEPT = 256


@dataclass(frozen=True)
class ViewStep:
    """A view and the answer that is applied to it; equal steps lead to equal views."""

    known: tuple[int, int, int, int]
    generation: int
    version: int
    routers_version: int
    has_snapshot: bool


class SharedViews:
    """Lets one router apply an answer and the others take over the view that it made.

    Every router still exchanges and decodes its own messages. Only the memory and the processor
    time of applying them are shared: hundreds of whole views would not fit into one process.
    """

    def __init__(self) -> None:
        self._views: dict[ViewStep, RoutingView] = {}
        self._summaries: dict[tuple[int, int], ViewSummary] = {}

    def find(self, known: RoutingView | None, reply: ViewReply) -> RoutingView | None:
        """Return the view that another router made from the same step, or None."""
        return self._views.get(_step(known, reply))

    def keep(self, known: RoutingView | None, reply: ViewReply, made: RoutingView) -> None:
        """Remember the view that a router made."""
        self._views[_step(known, reply)] = made
        if len(self._views) > MAX_KEPT:
            del self._views[next(iter(self._views))]

    def summary(self, view: RoutingView) -> ViewSummary:
        """Return the facts of a view, computed once for each version."""
        key = (view.generation, view.version)
        if key not in self._summaries:
            self._summaries[key] = summarise(view)
        return self._summaries[key]


def _step(known: RoutingView | None, reply: ViewReply) -> ViewStep:
    before = (0, 0, 0, 0)
    if known is not None:
        before = (known.generation, known.version, known.settings_version, known.routers_version)
    return ViewStep(
        before,
        reply.generation,
        reply.version,
        reply.routers_version,
        reply.HasField("snapshot"),
    )
