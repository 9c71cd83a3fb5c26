"""Broken rules on the rows: the leader's, the tables of owners, the configuration."""

from typing import Any

from result import Result

from indigoworks.ownership import table_writer
from indigoworks.ownership.control_group import CONTROL_TABLE
from indigoworks.ownership.leader_row import LEADER_KEY, LeaderRow
from indigoworks.ownership.leader_row_writer import LeaderRowWriter
from indigoworks.ownership.ownership_table import OwnershipTable
from indigoworks.ownership.table_writer import TableWriter
from indigoworks.routes.configuration import Configuration
from indigoworks.routes.configuration_holder import ConfigurationHolder
from indigoworks.rowstore.errors import StoreError
from indigoworks.rowstore.store_version import StoreVersion
from indigoworks.rowstore.transaction import ExpectedVersion, RowPut, Transaction
from indigoworks_lab.control_simulation import (
    configuration_checker,
    grant_row_checker,
    row_checker,
)
from indigoworks_lab.control_simulation.broken_control_rule import broken_control_rule
from indigoworks_lab.control_simulation.fault_kind import FaultKind
from indigoworks_lab.simulation.broken_rules.broken_rule import Replacement

_write = TableWriter.write


async def _grant_then_write(writer: TableWriter, table: OwnershipTable, reason: str) -> bool:
    writer._keepers.update(table.service, table)
    return await _write(writer, table, reason)


def _of_table_only(era: int, part: str, expected: Any, puts: Any) -> Transaction:
    return Transaction(era, part, expected[1:], puts)


async def _challenge_blindly(
    writer: LeaderRowWriter, row: LeaderRow, _condition: ExpectedVersion
) -> Result[StoreVersion, StoreError]:
    put = RowPut(CONTROL_TABLE, LEADER_KEY, row.encode())
    return await writer._store.commit(writer._group.transaction((), (put,)))


def _take_any_version(holder: ConfigurationHolder, configuration: Configuration) -> None:
    holder._current = configuration


BROKEN_ROW_RULES = (
    broken_control_rule(
        "grant-before-row",
        "A range is granted before the row that gives it to its owner is written.",
        grant_row_checker.CHECKER,
        lambda: [Replacement(TableWriter, "write", _grant_then_write)],
        (FaultKind.STORE_SLOW, 0.5, 10.0),
        (FaultKind.SERVER_DRAINING, 1.0, 0.0),
    ),
    broken_control_rule(
        "write-without-leading",
        "A table is written under its own version only, whoever leads.",
        row_checker.CHECKER,
        lambda: [Replacement(table_writer, "Transaction", _of_table_only)],
        (FaultKind.STORE_SLOW, 0.5, 16.0),
        (FaultKind.LEADER_CUT_FROM_PEERS, 1.0, 6.0),
        (FaultKind.LEADER_CUT_FROM_PEERS, 9.0, 6.0),
    ),
    broken_control_rule(
        "challenge-blindly",
        "A challenger writes the leader's row whatever it holds.",
        row_checker.CHECKER,
        lambda: [Replacement(LeaderRowWriter, "write", _challenge_blindly)],
        (FaultKind.LEADER_KILLED, 1.0, 6.0),
    ),
    broken_control_rule(
        "configuration-goes-back",
        "An older configuration that is written again comes into force.",
        configuration_checker.CHECKER,
        lambda: [Replacement(ConfigurationHolder, "put_in_force", _take_any_version)],
        (FaultKind.CONFIGURATION_CHANGES, 1.0, 10.0),
    ),
)
