"""The platform's store of a soak of servers that hold keys."""

import asyncio

from gateway_soak_store import MS_PER_S, SoakStore

from indigoworks.ownership.control_group import CONTROL_TABLE, part_of
from indigoworks.ownership.leader_row import LEADER_KEY, LeaderRow
from indigoworks.rowstore.store_version import NO_VERSION

SERVERS_TABLE = "servers"
LAPSE_HEARTBEATS = 3
POLL_S = 0.1


class KeySoakStore(SoakStore):
    """Lets entries lapse, and starts again with another reading of its clock."""

    def __init__(self, random, heartbeat_s) -> None:
        super().__init__(random)
        self._heartbeat_s = heartbeat_s
        self._written_s = {}
        self._jump_ms = 0.0

    def leader(self) -> LeaderRow | None:
        """Return the newest row of the leader."""
        found = self.rows.get((CONTROL_TABLE, part_of(self.era), LEADER_KEY))
        return LeaderRow.decode(found[0], NO_VERSION) if found else None

    async def let_entries_lapse(self) -> None:
        """Remove entries that were not written for three heartbeats, for ever."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(POLL_S)
            if self._is_away or self._mode in ("down", "loses"):
                # What could not be written is no silence of the server.
                self._written_s = dict.fromkeys(self._written_s, loop.time())
                continue
            longest_s = LAPSE_HEARTBEATS * self._heartbeat_s
            for key in [each[2] for each in self.rows if each[0] == SERVERS_TABLE]:
                written_s = self._written_s.setdefault(key, loop.time())
                if loop.time() - written_s > longest_s:
                    self.remove(SERVERS_TABLE, "", key)

    async def start_again(self, away_s, jump_s) -> None:
        """Be away as a process that starts again; its clock reads otherwise, its era stays."""
        self._is_away = True
        self._close_all()
        await asyncio.sleep(away_s)
        self._jump_ms += jump_s * MS_PER_S
        self._is_away = False
        self._wake()

    def _now_ms(self) -> float:
        return super()._now_ms() + self._jump_ms

    def _put(self, table, part, key, value) -> None:
        if table == SERVERS_TABLE:
            self._written_s[key] = asyncio.get_running_loop().time()
        super()._put(table, part, key, value)
