"""Another program writes entries into the list of servers."""

import json
from collections.abc import Callable

from indigoworks_lab.gateway_soak.disturbed_world import DisturbedWorld
from indigoworks_lab.gateway_soak.key_plan_event import KeyPlanEvent
from indigoworks_lab.gateway_soak.key_server_place import SERVICE, SLOTS, ZONE

TABLE = "servers"
KEY = "inventory-tool"
BORN_MS = 1_790_000_000_000
OPEN_BRACKETS = 60_000

Fields = dict[str, object]
Change = Callable[[Fields], object]

CHANGES: tuple[Change, ...] = (
    lambda entry: entry.update(state="inspected"),
    lambda entry: entry.pop("state"),
    lambda entry: entry.pop("born"),
    lambda entry: entry.update(service="not-configured"),
    lambda entry: entry.update(service=[entry["service"]]),
    lambda entry: entry.update(zone={}),
    lambda entry: entry.update(slots="many"),
)
"""What makes an entry another one than a server's."""


class ForeignEntryEvent:
    """Writes entries at addresses of living servers, each under a key of its own or a server's."""

    def __init__(self, world: DisturbedWorld) -> None:
        self._world = world
        self._written = 0

    async def play(self, event: KeyPlanEvent) -> None:
        """Write one entry; it stays."""
        server_draw, form_draw, key_draw = event.draws
        server = self._world.servers[int(server_draw * len(self._world.servers))]
        self._written += 1
        key = server.server_id if key_draw < 1 / 3 else f"{KEY}-{self._written}"
        form = int(form_draw * (len(CHANGES) + 1))
        if form == len(CHANGES):
            value = b"[" * OPEN_BRACKETS
        else:
            entry: Fields = {
                "service": SERVICE,
                "address": str(server.link.address),
                "zone": ZONE,
                "version": "1",
                "slots": SLOTS,
                "state": "ready",
                "warm_up_left_ms": 0,
                "born": BORN_MS,
                "seq": 1,
            }
            CHANGES[form](entry)
            value = json.dumps(entry).encode()
        self._world.store.put(TABLE, "", key, value)
