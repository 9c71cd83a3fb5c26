"""Carries an ownership table over into a new era of the store."""

import asyncio
from collections.abc import Sequence
from dataclasses import replace

from eliot import log_message

from indigoworks.common.clock import Clock
from indigoworks.ownership.era_numbers import first_number
from indigoworks.ownership.hold_bounds import (
    CLOCK_DRIFT_FACTOR,
    MAX_ORDER_DELAY_S,
    SEND_MARGIN_S,
    HoldBounds,
)
from indigoworks.ownership.hold_policy import HOLD_S, HoldPolicy
from indigoworks.ownership.keeper_set import KeeperSet
from indigoworks.ownership.leader_lease import LEADER_LEASE_S
from indigoworks.ownership.leadership import Leadership
from indigoworks.ownership.order_outcome import OrderResult
from indigoworks.ownership.owned_range import FormerOwner, OwnedRange
from indigoworks.ownership.ownership_table import OwnershipTable
from indigoworks.ownership.ownership_tables import OwnershipTables
from indigoworks.ownership.possible_holders import PossibleHolders
from indigoworks.ownership.table_editor import in_new_era, spans_of_others, token_in_era
from indigoworks.ownership.table_writer import TableWriter
from indigoworks.servers.server_source import ServerSource

UNKNOWN_ERA_TRIES = 3
"""Number of renewals sent to an owner that does not answer, when its keys would otherwise wait for
the longest hold that anybody may have granted."""

SERVER_LIST_SETTLE_S = 2.2
"""Every live server is back in the list this long after the store has returned."""


class TableRecovery:
    """Carries tables over, and finds out which ranges are certainly with their known owner.

    A store restored from a copy may have lost the newest tables, by which servers hold keys. Tokens
    of the new era are above all earlier ones, so that no late order of an earlier era has effect.
    But a server may hold keys without the copy or this process knowing it. An owner that renews a
    grant under its old token was never released from it. For any other range every known server is
    treated as a former owner: it answers a release, or its longest possible hold ends.
    """

    def __init__(
        self,
        leadership: Leadership,
        tables: OwnershipTables,
        writer: TableWriter,
        keepers: KeeperSet,
        bounds: HoldBounds,
        policy: HoldPolicy,
        servers: ServerSource,
        clock: Clock,
    ) -> None:
        self._leadership = leadership
        self._tables = tables
        self._writer = writer
        self._has_read_former = False
        self._keepers = keepers
        self._holders = PossibleHolders(keepers, bounds, clock)
        self._policy = policy
        self._servers = servers
        self._clock = clock

    async def carry_over(self, service: str) -> bool:
        """Write the table of a former era, if there is one, as the first table of this era.

        Returns False if that failed, such as by a write whose answer was lost; the caller then
        retries from the rows as they are.
        """
        if not self._has_read_former:
            self._has_read_former = await self._writer.read_former_eras()
        table = self._tables.table(service)
        if not self._has_read_former or not table.ranges:
            return self._has_read_former
        return await self._writer.write(await self._recovered(table), "new_era")

    async def _recovered(self, table: OwnershipTable) -> OwnershipTable:
        """Return the first table of the new era, which is not written yet."""
        is_known = self._leadership.knows_former_era(table.version.era)
        if not is_known:
            # Servers that registered after the copy was made are missing from it.
            since_s = self._clock.now() - self._leadership.era_seen_s
            await self._clock.sleep(max(0.0, SERVER_LIST_SETTLE_S - since_s))
            return await self._released_table(table)
        return await self._confirmed_table(table)

    async def _confirmed_table(self, table: OwnershipTable) -> OwnershipTable:
        """Return the first table after an era that is known: its owners are asked."""
        confirmed = await self._ask_owners(table, table.ranges)
        holders = self._possible_holders(table)
        unsure = [each for each in table.ranges if each not in confirmed]
        for owned in unsure:
            # The hold of the owner in a known era already has a bound.
            until_s = self._until_s(is_confirmed=False, is_known=True)
            self._holders.record(owned, holders - {owned.server_id}, until_s)
        above = first_number(self._leadership.era)
        await self._release_elsewhere(table.service, unsure, holders, token_in_era(table, above))
        self._log_recovered(table, unsure, unsure, holders, is_known=True)
        carried = [
            self._sure(table.service, each) if each in confirmed else self._unsure(each, holders)
            for each in table.ranges
        ]
        return in_new_era(table, carried, above)

    async def _released_table(self, table: OwnershipTable) -> OwnershipTable:
        """Return the first table after an era that is not known.

        All others release a range before its owner gets it under a token of the new era. To renew
        the owner's grant is no harmless question: it may have lost its keys by waiting, and another
        server may have had them under a higher token. So it is asked only if a server that may
        have them does not answer: their holds are then bounded sooner.
        """
        holders = self._possible_holders(table)
        above = first_number(self._leadership.era)
        token = token_in_era(table, above)
        unreleased = await self._release_elsewhere(table.service, table.ranges, holders, token)
        silent = {each: _servers_with_keys_of(each, unreleased) for each in table.ranges}
        doubted = [each for each in table.ranges if silent[each]]
        confirmed = await self._ask_owners(table, doubted)
        for owned in table.ranges:
            until_s = self._until_s(owned in confirmed, is_known=False)
            self._holders.record(owned, silent[owned] | {owned.server_id}, until_s)
        unconfirmed = [each for each in doubted if each not in confirmed]
        self._log_recovered(table, unconfirmed, table.ranges, holders, is_known=False)
        carried = [self._unsure(each, silent[each]) for each in table.ranges]
        return in_new_era(table, carried, above)

    def _log_recovered(
        self,
        table: OwnershipTable,
        doubted: Sequence[OwnedRange],
        unsure: Sequence[OwnedRange],
        holders: frozenset[str],
        is_known: bool,
    ) -> None:
        """Log the outcome: doubted ranges are not confirmed, unsure ones get a new token."""
        log_message(
            message_type="ownership:recovered",
            service=table.service,
            from_version=str(table.version),
            ranges=len(table.ranges),
            doubted=len(doubted),
            unsure=len(unsure),
            servers=len(holders),
            is_known=is_known,
            led_before=self._led(table),
        )

    # ---- confirmation by owners ----

    def _led(self, table: OwnershipTable) -> bool:
        return self._leadership.led_former_era(table.version.era)

    async def _ask_owners(
        self, table: OwnershipTable, ranges: Sequence[OwnedRange]
    ) -> frozenset[OwnedRange]:
        """Return the ranges that their owners confirm."""
        answers = await asyncio.gather(*(self._is_confirmed(table, each) for each in ranges))
        return frozenset(each for each, is_sure in zip(ranges, answers, strict=True) if is_sure)

    async def _is_confirmed(self, table: OwnershipTable, owned: OwnedRange) -> bool:
        """Return whether only the owner and the former owners in the row may hold the range.

        If this process led: True without an order for a range that it had not granted, and else
        unless the owner refuses to renew its grant under its token. If another process led: False
        without an order for a range with former owners, and else only if the owner renews.
        """
        is_own = self._led(table)
        granted = self._keepers.granted_at_stop(table.service)
        if owned not in granted if is_own else owned.former:
            # A leader knows that it has not granted a range; another one may have done it or not.
            return is_own
        if not is_own and self._has_restarted(table, owned.server_id):
            return False
        tries = 1 if self._leadership.knows_former_era(table.version.era) else UNKNOWN_ERA_TRIES
        result = await self._confirm(table.service, owned, tries)
        return result is OrderResult.DONE or (is_own and result is not OrderResult.FENCED)

    def _has_restarted(self, table: OwnershipTable, server_id: str) -> bool:
        """Return whether an owner is known to have started again after the row was written.

        Its earlier run took the grant along, and what it had seen of higher tokens: it would renew
        a grant that another server has got in the meantime.
        """
        written_ms = table.starts.get(server_id, 0)
        record = self._servers.get(server_id)
        return record is not None and 0 < written_ms < record.started_ms

    async def _confirm(self, service: str, owned: OwnedRange, tries: int) -> OrderResult | None:
        """Have the owner renew its grant, with retries if it does not answer."""
        result = await self._keepers.confirm(service, owned)
        for _ in range(tries - 1):
            if result is not OrderResult.UNANSWERED:
                break
            result = await self._keepers.confirm(service, owned)
        return result

    def _possible_holders(self, table: OwnershipTable) -> frozenset[str]:
        listed = {each.server_id for each in self._servers.known(table.service)}
        owners = {each.server_id for each in table.ranges}
        former = {before.server_id for each in table.ranges for before in each.former}
        return frozenset(listed | owners | former)

    # ---- other possible holders ----

    async def _release_elsewhere(
        self, service: str, unsure: Sequence[OwnedRange], holders: frozenset[str], token: int
    ) -> Sequence[tuple[str, OwnedRange]]:
        """Have every server release the ranges that others own, in as few orders as possible.

        Returns the servers that do not answer, with the keys; one that does holds none of them.
        """
        return await self._holders.release(
            service,
            [
                (server_id, span)
                for server_id in sorted(holders)
                for span in spans_of_others(unsure, server_id, token)
            ],
        )

    def _sure(self, service: str, owned: OwnedRange) -> OwnedRange:
        """Return a confirmed range with the former owners to be ruled out in the new era.

        A range that its owner held when this process last led has none.
        """
        is_granted = owned in self._keepers.granted_at_stop(service)
        former = () if is_granted else owned.former
        return replace(owned, former=tuple(FormerOwner(each.server_id) for each in former))

    def _unsure(self, owned: OwnedRange, holders: frozenset[str]) -> OwnedRange:
        """Return an unconfirmed range with all servers that may still hold it as former owners."""
        return replace(owned, former=tuple(self._holders.remaining(owned, holders)))

    def _until_s(self, is_confirmed: bool, is_known: bool) -> float:
        return self._may_act_until_s() + self._longest_hold_s(is_confirmed, is_known)

    def _longest_hold_s(self, is_confirmed: bool, is_known: bool) -> float:
        """Return how long after its sending a grant of an earlier leader may hold.

        Another server can hold keys that their owner has never released only after a move that
        waited for the owner's hold to end. Leaders make such moves while the store is healthy, when
        holds are short.
        """
        hold_s = HOLD_S if is_confirmed else self._policy.longest_max_s
        if not is_confirmed and not is_known:
            hold_s = max(hold_s, MAX_ORDER_DELAY_S + HOLD_S)
        return hold_s * CLOCK_DRIFT_FACTOR + SEND_MARGIN_S

    def _may_act_until_s(self) -> float:
        """Return until when a leader of a former era may act: a lease after that era ended."""
        return self._leadership.others_led_until_s + LEADER_LEASE_S


def _servers_with_keys_of(
    owned: OwnedRange, unreleased: Sequence[tuple[str, OwnedRange]]
) -> frozenset[str]:
    """Return the servers that have not released all keys of a range."""
    return frozenset(
        server_id
        for server_id, span in unreleased
        if span.first <= owned.last and owned.first <= span.last
    )
