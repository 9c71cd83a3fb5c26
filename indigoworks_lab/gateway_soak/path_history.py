"""What callers and servers saw while some gateways had no path to any server."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from indigoworks_lab.gateway_soak.path_request import PathRequest


@dataclass(frozen=True, slots=True)
class PathHistory:
    """Times are of the event loop, which all processes share, in seconds.

    :ivar requests: of all callers.
    :ivar begun_s: by request id, when servers began to run it.
    :ivar cut: names of the gateways without a path from `cut_s` until `healed_s`.
    """

    requests: Sequence[PathRequest]
    begun_s: Mapping[str, Sequence[float]]
    cut: frozenset[str]
    cut_s: float
    healed_s: float
