"""Who owns the keys of a run, as a meter sees it."""

from collections.abc import Sequence
from typing import Protocol

from indigoworks_lab.bench.figures.key_places import KeyPlaces


class OwnershipSource(Protocol):
    """Ownership under one variant. Both methods are asked often and must be cheap."""

    def owners(self, service: str, keys: KeyPlaces) -> Sequence[str]:
        """Return the owner of each key, in the order of the places; empty where there is none.

        The same list object stands for unchanged owners.
        """
        ...

    def served_keys(self, service: str, keys: KeyPlaces) -> int:
        """Return how many keys have a server that would run a request for them now."""
        ...
