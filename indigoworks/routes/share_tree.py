"""Weights of groups: the part of the settings tree that the gateways use."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from indigoworks.routes.share import EQUAL_WEIGHT


@dataclass(frozen=True)
class ServiceShares:
    """Weights set by a service: for all its groups, by group, and by key."""

    weight: float | None = None
    groups: Mapping[str, float] = field(default_factory=dict)
    keys: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class ShareTree:
    """Immutable tree of weights; the most specific level that sets one applies.

    Levels from general to specific, as in indigoworks.settings: built-in, root, `groups.G`,
    `services.S`, `services.S.groups.G`, `services.S.keys.K`.

    :ivar weight: weight at the root.
    """

    weight: float | None = None
    groups: Mapping[str, float] = field(default_factory=dict)
    services: Mapping[str, ServiceShares] = field(default_factory=dict)

    def weight_of(self, service: str, group: str, key: str | None = None) -> float:
        """Return the weight of `group` at `service`, for requests with `key` if given."""
        found = self.services.get(service, _NO_WEIGHTS)
        levels = (
            None if key is None else found.keys.get(key),
            found.groups.get(group),
            found.weight,
            self.groups.get(group),
            self.weight,
        )
        return next((each for each in levels if each is not None), EQUAL_WEIGHT)


_NO_WEIGHTS = ServiceShares()
