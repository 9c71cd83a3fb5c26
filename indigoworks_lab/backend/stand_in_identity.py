"""Who a stand-in back end is."""

from dataclasses import dataclass


@dataclass(frozen=True)
class StandInIdentity:
    """Identity of one run of one server.

    :ivar incarnation: differs for each run, also where the name is the same.
    """

    name: str
    incarnation: str
    service: str
    zone: str
