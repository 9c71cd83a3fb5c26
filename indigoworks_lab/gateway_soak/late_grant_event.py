"""A leader ends with a grant under way, which a server applies seconds later."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Protocol

from indigoworks_lab.gateway_soak.disturbed_world import DisturbedGateway, DisturbedWorld
from indigoworks_lab.gateway_soak.grant_delay_call import delay_next_grant
from indigoworks_lab.gateway_soak.key_event_kind import KeyEventKind
from indigoworks_lab.gateway_soak.key_link import KeyLink
from indigoworks_lab.gateway_soak.key_link_faults import KeyLinkFaults
from indigoworks_lab.gateway_soak.key_plan_event import KeyPlanEvent

GRANT_TIMEOUT_S = 1.5
"""Longest wait for a grant: an owner is granted its keys more often."""

MAX_END_DELAY_S = 0.3
"""Longest time from the arrival of the grant to the end of the leader."""

RESTART_SHARE = 0.4
"""The leader starts again when another one leads, which then knows that it has ended."""

HOLD_S = 3.0


class EndGateway(Protocol):
    """Ends a gateway and starts it again after a share of the longest pause."""

    def __call__(
        self, kind: KeyEventKind, gateway: DisturbedGateway, draw: float, /
    ) -> Coroutine[Any, Any, None]:
        """End, wait and start."""


class LateGrantEvent:
    """Plays one such event at a time.

    Of the gateways, only the leader and a bystander can connect to the server. The bystander is cut
    off from the store, so that it neither leads next nor learns that the keys move: it goes on
    sending requests to the server.
    """

    def __init__(
        self, world: DisturbedWorld, links: KeyLinkFaults, end_gateway: EndGateway
    ) -> None:
        self._world = world
        self._links = links
        self._end_gateway = end_gateway
        self._is_playing = False

    async def play(self, event: KeyPlanEvent, leader: DisturbedGateway | None) -> None:
        """Force the series; `event.duration_s`: delay of the grant."""
        server = self._world.servers[int(event.draws[0] * len(self._world.servers))]
        is_free = not (server.is_stopped or server.is_changing)
        if self._is_playing or leader is None or leader.is_restarting or not is_free:
            return
        self._is_playing = leader.is_restarting = True
        others = [each.name for each in self._world.gateways if each is not leader]
        bystander = others.pop(int(event.draws[1] * len(others)))
        begun = self._links.begin([(None, bystander)], KeyLink.cut)
        if await delay_next_grant(server.port, event.duration_s, GRANT_TIMEOUT_S):
            cut_off = [(server.place, name) for name in others]
            begun += self._links.begin(cut_off, KeyLink.drop_connects)
            # Most leaders end before a beat can tell of the grant.
            await asyncio.sleep(event.draws[2] ** 2 * MAX_END_DELAY_S)
            self._world.spawn(self._end_gateway(event.kind, leader, RESTART_SHARE))
            begun += self._links.begin([(server.place, leader.name)], KeyLink.drop_connects)
            await asyncio.sleep(event.duration_s + HOLD_S)
        else:
            leader.is_restarting = False
        self._links.heal(begun)
        self._is_playing = False
