"""Writes the first table of a service."""

from dataclasses import replace

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.ownership.era_numbers import first_number
from indigoworks.ownership.leadership import Leadership
from indigoworks.ownership.lost_leader import LostLeader
from indigoworks.ownership.owned_range import OwnedRange
from indigoworks.ownership.ownership_table import KEY_COUNT, OwnershipTable
from indigoworks.ownership.possible_holders import PossibleHolders
from indigoworks.ownership.table_editor import TOKEN_STEP, first_table
from indigoworks.ownership.table_writer import TableWriter
from indigoworks.servers.server_source import ServerSource

SERVER_SETTLE_S = 1.5
"""The first table of a service is written once its set of servers has not changed for this long:
when the whole system starts, they register one after the other."""

TOKEN_SEARCH_S = 5.0
"""For this long after the first table, tokens that owners refuse are replaced by much higher ones.
The limit bounds what a server that refuses every token can use up."""

MAX_TOKEN_STEP = 2**16


class FirstTable:
    """Writes the first tables in an epoch, after servers have released what they may hold.

    A missing table may be a lost one, by which servers hold keys under unknown tokens. Each known
    server releases all keys; one that does not answer is a former owner of every range. Owners that
    have seen higher tokens refuse their grants without telling these tokens, so that the step from
    one token to the next doubles with each refusal.
    """

    def __init__(
        self,
        leadership: Leadership,
        writer: TableWriter,
        holders: PossibleHolders,
        lost_leader: LostLeader,
        servers: ServerSource,
        clock: Clock,
    ) -> None:
        self._leadership = leadership
        self._writer = writer
        self._holders = holders
        self._lost_leader = lost_leader
        self._servers = servers
        self._clock = clock
        self._seen_servers: dict[str, tuple[frozenset[str], float]] = {}
        self._written_s: dict[str, float] = {}
        self._token_steps: dict[str, int] = {}

    async def write(self, service: str) -> None:
        """Write the first table of a service, once its servers have settled."""
        servers = sorted(self._servers.usable(service), key=lambda each: each.server_id)
        names = frozenset(each.server_id for each in servers)
        now_s = self._clock.now()
        if service not in self._seen_servers or self._seen_servers[service][0] != names:
            self._seen_servers[service] = (names, now_s)
        if not servers or now_s - self._seen_servers[service][1] < SERVER_SETTLE_S:
            return
        slots = [each.slots for each in servers]
        above = first_number(self._leadership.era)
        table = first_table(service, sorted(names), slots, above)
        if await self._writer.write(await self._without_holders(table, above), "first"):
            self._written_s[service] = self._clock.now()

    def next_token_step(self, service: str) -> int:
        """Return by how much the token of a range rises after its owner has refused it."""
        if self._clock.now() - self._written_s.get(service, float("-inf")) > TOKEN_SEARCH_S:
            return TOKEN_STEP
        step = self._token_steps.get(service, TOKEN_STEP)
        self._token_steps[service] = min(2 * step, MAX_TOKEN_STEP)
        return step

    async def _without_holders(self, table: OwnershipTable, above: int) -> OwnershipTable:
        """Return the table with the servers that may hold keys of each range as former owners."""
        holders = {each.server_id for each in self._servers.known(table.service)}
        all_keys = OwnedRange(0, KEY_COUNT - 1, "", above)
        self._holders.record(all_keys, holders, self._lost_leader.holds_until_s())
        released = replace(all_keys, token=table.highest_token)
        await self._holders.release(table.service, [(each, released) for each in sorted(holders)])
        ranges = tuple(
            replace(each, former=tuple(self._holders.remaining(each, holders)))
            for each in table.ranges
        )
        silent = {former.server_id for each in ranges for former in each.former}
        log_message(
            message_type="ownership:first_released",
            service=table.service,
            servers=len(holders),
            silent=sorted(silent),
        )
        return replace(table, ranges=ranges)
