"""Brings a table of owners into a new era of the store."""

import asyncio
from dataclasses import replace

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.ownership.era_numbers import first_number
from indigoworks.ownership.hold_bounds import CLOCK_FACTOR, LATE_ORDER_S, MARGIN_S, HoldBounds
from indigoworks.ownership.hold_policy import HOLD_S, HoldPolicy
from indigoworks.ownership.keeper_set import KeeperSet
from indigoworks.ownership.leadership import LEADER_LEASE_S, Leadership
from indigoworks.ownership.order_outcome import OrderResult
from indigoworks.ownership.owned_range import FormerOwner, OwnedRange
from indigoworks.ownership.ownership_table import OwnershipTable
from indigoworks.ownership.table_editor import in_new_era
from indigoworks.servers.server_source import ServerSource

LIST_SETTLES_S = 2.2
"""Every living server is back in the list so long after the store has come back."""


class TableRecovery:
    """Finds out which ranges of a former era are certainly with the owner that is known here.

    The store has lost the newest tables, and servers hold keys by them. Tokens of the new era are
    above all earlier ones, so that no late order of before can take effect. What is left is a
    server that holds keys of which neither the copy nor this process knows. An owner that renews a
    grant under its old token was never released from it. Of the other ranges every server that is
    known is a former owner: it answers a release, or its longest possible hold passes.
    """

    def __init__(
        self,
        leadership: Leadership,
        keepers: KeeperSet,
        bounds: HoldBounds,
        policy: HoldPolicy,
        servers: ServerSource,
        clock: Clock,
    ) -> None:
        self._leadership = leadership
        self._keepers = keepers
        self._bounds = bounds
        self._policy = policy
        self._servers = servers
        self._clock = clock

    async def recover(self, table: OwnershipTable) -> OwnershipTable:
        """Return the first table of the new era; it is yet to be written."""
        if not self._leadership.knows_former_era():
            await self._prepare_for_unknown()
        results = await asyncio.gather(
            *(self._confirmed(table.service, each) for each in table.ranges)
        )
        others = self._possible_holders(table)
        carried: list[OwnedRange] = []
        doubted = 0
        for owned, is_confirmed in zip(table.ranges, results, strict=True):
            if not is_confirmed:
                doubted += 1
                carried.append(self._with_possible(owned, others))
            else:
                carried.append(self._as_known(table.service, owned))
        log_message(
            message_type="ownership:recovered",
            service=table.service,
            from_version=str(table.version),
            ranges=len(carried),
            doubted=doubted,
            servers=len(others),
            led_before=self._leadership.led_former_era(),
        )
        return in_new_era(table, carried, first_number(self._leadership.era))

    async def _prepare_for_unknown(self) -> None:
        """Take note of what leaders that are not known may have granted, and to whom."""
        late_s = max(LATE_ORDER_S + HOLD_S, self._policy.longest_max_s)
        self._bounds.note_unknown(self._acts_until_s() + late_s * CLOCK_FACTOR + MARGIN_S)
        # Servers that came in the span that is lost are missing from the copy.
        since_s = self._clock.now() - self._leadership.era_seen_s
        await self._clock.sleep(max(0.0, LIST_SETTLES_S - since_s))

    async def _confirmed(self, service: str, owned: OwnedRange) -> bool:
        """Tell whether nobody but the owner and the former owners in the row can hold a range."""
        if not self._leadership.knows_former_era():
            return False
        is_own = self._leadership.led_former_era()
        is_granted = owned in self._keepers.granted_at_stop(service) if is_own else not owned.former
        if not is_granted:
            # Its own grants are known to a leader; of another's this one may not have been sent.
            return is_own
        result = await self._keepers.confirm(service, owned)
        return result is OrderResult.DONE or (is_own and result is not OrderResult.FENCED)

    def _possible_holders(self, table: OwnershipTable) -> frozenset[str]:
        listed = {each.server_id for each in self._servers.known(table.service)}
        owners = {each.server_id for each in table.ranges}
        former = {before.server_id for each in table.ranges for before in each.former}
        return frozenset(listed | owners | former)

    def _as_known(self, service: str, owned: OwnedRange) -> OwnedRange:
        """Return a range with the former owners that are still to be ruled out.

        Their bounds are readings of the store's clock in the former era.
        """
        if owned in self._keepers.granted_at_stop(service):
            return replace(owned, former=())
        return replace(owned, former=tuple(FormerOwner(each.server_id) for each in owned.former))

    def _with_possible(self, owned: OwnedRange, servers: frozenset[str]) -> OwnedRange:
        others = sorted(servers - {owned.server_id})
        until_s = self._acts_until_s() + self._policy.longest_max_s * CLOCK_FACTOR + MARGIN_S
        for server_id in others:
            self._bounds.note_possible(server_id, owned, until_s)
        return replace(owned, former=tuple(FormerOwner(each) for each in others))

    def _acts_until_s(self) -> float:
        """Return until when a leader of the former era may act: its newest proof is older."""
        return self._leadership.era_seen_s + LEADER_LEASE_S
