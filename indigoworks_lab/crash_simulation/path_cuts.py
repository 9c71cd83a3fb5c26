"""Gateways that are cut from all machines, while callers and peers reach them."""

from dataclasses import dataclass, field
from enum import Enum


class PathCut(Enum):
    """What becomes of the connections of a gateway that is cut."""

    SILENT = "silent"
    """Nothing passes in either direction."""
    REFUSED = "refused"
    """Connections break off, and new ones are refused."""
    NO_NEW = "no_new"
    """Open connections live on, and new ones get no answer."""


@dataclass
class PathCuts:
    """:ivar cuts: by node."""

    cuts: dict[str, PathCut] = field(default_factory=dict)

    def of(self, node: str) -> PathCut | None:
        """Return how a gateway is cut; None: it is not."""
        return self.cuts.get(node)

    def begin(self, nodes: list[str], cut: PathCut) -> None:
        """Cut gateways."""
        self.cuts.update(dict.fromkeys(nodes, cut))

    def heal(self) -> None:
        """End all cuts."""
        self.cuts.clear()
