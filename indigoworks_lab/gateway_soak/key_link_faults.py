"""Disturbs and heals links of a soak of servers that hold keys."""

import asyncio
from collections.abc import Callable, Iterable

from indigoworks_lab.gateway_soak.disturbed_world import DisturbedWorld
from indigoworks_lab.gateway_soak.healed_path import HealedPath
from indigoworks_lab.gateway_soak.key_link import KeyLink

LinkKey = tuple[int | None, str]
"""Place of a server, or None for the store, and a gateway's name."""

Disturb = Callable[[KeyLink, str], None]
"""Disturbs a link for a caller."""


class KeyLinkFaults:
    """:ivar healed: gateways that were thawed and links that healed so far."""

    def __init__(self, world: DisturbedWorld) -> None:
        self.healed: list[HealedPath] = []
        self._world = world
        self._disturbed: set[LinkKey] = set()

    def begin(self, keys: Iterable[LinkKey], disturb: Disturb) -> list[LinkKey]:
        """Disturb links, and return those that were not disturbed before."""
        begun = [each for each in keys if each not in self._disturbed]
        for place, name in begun:
            self._disturbed.add((place, name))
            disturb(self._link(place), self._world.sources[name])
        return begun

    def heal(self, keys: Iterable[LinkKey]) -> None:
        """Heal those of the links that are disturbed."""
        for place, name in keys:
            if (place, name) not in self._disturbed:
                continue
            self._disturbed.discard((place, name))
            caller = self._world.sources[name]
            if place is not None:
                now_s = asyncio.get_running_loop().time()
                self.healed.append(HealedPath(caller, now_s, self._world.servers[place].server_id))
            self._link(place).heal(caller)

    def heal_all(self) -> None:
        """Heal all disturbed links."""
        self.heal(list(self._disturbed))

    def _link(self, place: int | None) -> KeyLink:
        return self._world.store_link if place is None else self._world.servers[place].link
