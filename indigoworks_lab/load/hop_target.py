"""Where the load of one path goes."""

from dataclasses import dataclass

from indigoworks_lab.load.load_target import LoadTarget


@dataclass(frozen=True)
class HopTarget:
    """The first hop of a path and the processes behind it.

    :ivar pids: process ids by role, of all processes on the path.
    """

    target: LoadTarget
    pids: dict[str, int]
