"""Steps for changes of the settings tree on the leader."""

import asyncio

import detangle
from behave import given, then, when
from result import Err, Ok

from indigoworks.admin.settings_change import SettingsChange
from indigoworks.common.clock import LoopClock
from indigoworks.controller.control_state import ReplicatedControlState
from indigoworks.controller.settings_record import SettingsRecord, settings_row_key
from indigoworks.controller.settings_service import SettingsService
from indigoworks.controller.settings_table import SettingsTable
from indigoworks.platform.errors import (
    PlatformOutcomeUnknown,
    PlatformUnavailable,
    VersionConflict,
)
from indigoworks.platform.row_write import RowWrite
from indigoworks.platform.table_row import TableRow
from indigoworks.settings import parse_tree

PLATFORM_TIMEOUT_S = 1.0
"""As in the adapter of the platform."""


class FixedClock:
    """A clock that stands still."""

    def now(self):
        return 0.0

    async def sleep(self, duration_s):
        await asyncio.sleep(0)


class FakeTable:
    """A table service in memory whose next write can lose its answer."""

    def __init__(self):
        self.rows = {}
        self.is_down = False
        self.loses_next_answer = False
        self.is_slow = False
        self.goes_down_after_write = False

    async def time_out(self):
        await asyncio.sleep(PLATFORM_TIMEOUT_S)
        return Err(PlatformOutcomeUnknown("no answer in time", "read back"))

    async def read(self, key):
        if self.is_slow:
            return await self.time_out()
        if self.is_down:
            return Err(PlatformUnavailable("down", "later"))
        return Ok(self.rows.get(key))

    async def transact(self, writes):
        if self.is_slow:
            return await self.time_out()
        if self.is_down:
            return Err(PlatformUnavailable("down", "later"))
        for write in writes:
            row = self.rows.get(write.key)
            if (row.version if row else 0) != write.expected_version:
                return Err(VersionConflict("changed", "read again"))
        for write in writes:
            self.rows[write.key] = TableRow(write.key, write.value, write.expected_version + 1)
        self.is_down = self.goes_down_after_write
        if self.loses_next_answer:
            self.loses_next_answer = False
            return Err(PlatformOutcomeUnknown("lost", "read back"))
        return Ok(None)


class FakeNode:
    """Commits every command at once."""

    def __init__(self, state):
        self.state = state

    async def propose(self, command):
        index = self.state.applied_index + 1
        self.state.apply(index, command)
        return Ok(index)


class FakeLeadership:
    """A leadership that holds."""

    term = 1
    generation = 1

    def may_grant(self):
        return True


@given("controller: a leader's settings service")
def settings_service(context):
    context.table_service = FakeTable()
    context.state = ReplicatedControlState(FixedClock())
    context.admin_answers = []


def with_service(context, use):
    async def main():
        clock = LoopClock()
        table = SettingsTable(context.table_service, 0, clock)
        node = FakeNode(context.state)
        return await use(SettingsService(node, context.state, FakeLeadership(), table, clock))

    return detangle.run(main)


def tree_with_weight(weight):
    return b'{"defaults":{"weight":%d},"services":{"catalogue":{}}}' % weight


@when('controller: change "{change_id}" with weight {weight:d} is sent on version {version:d}')
def send_change(context, change_id, weight, version):
    wanted = SettingsChange(change_id, version, tree_with_weight(weight))

    async def send(service):
        begun_s = asyncio.get_running_loop().time()
        answer = await service.change(wanted)
        context.took_s = asyncio.get_running_loop().time() - begun_s
        return answer

    context.admin_answers.append(with_service(context, send))


@when("controller: the answer of the next write is lost after it took effect")
def lose_answer(context):
    context.table_service.loses_next_answer = True


@when("controller: the table is down after the next write")
def down_after_write(context):
    context.table_service.goes_down_after_write = True


@when("controller: the table is down")
def table_down(context):
    context.table_service.is_down = True


@when(
    'controller: an earlier leader wrote change "{change_id}" with weight {weight:d} '
    "to the table only"
)
def written_before(context, change_id, weight):
    tree = parse_tree(tree_with_weight(weight)).unwrap()
    content = tree.model_dump_json(exclude_none=True).encode()
    value = SettingsRecord(1, change_id, content).to_row_value()
    write = RowWrite(settings_row_key(0), value, 0)
    with_service(context, lambda _: context.table_service.transact([write]))


@when("controller: the leader looks at the table")
def leader_looks(context):
    async def look(service):
        task = asyncio.ensure_future(service.run())
        await asyncio.sleep(1.0)
        task.cancel()

    with_service(context, look)


@then("controller: the answers are {wanted}")
def answers_are(context, wanted):
    told = [
        f"accepted at {each.unwrap().version}" if each.is_ok() else each.unwrap_err().kind
        for each in context.admin_answers
    ]
    assert ", ".join(told) == wanted, told


@then('controller: the conflict shows "{path}" from {old:f} to {new:f}')
def conflict_shows(context, path, old, new):
    (difference,) = context.admin_answers[-1].unwrap_err().difference
    assert (difference.path, difference.old, difference.new) == (path, old, new), difference


@then("controller: the answer names when to come back")
def names_retry(context):
    assert context.admin_answers[-1].unwrap_err().retry_after_s > 0


@then("controller: the table and the log agree on version {version:d}")
def table_and_log(context, version):
    row = context.table_service.rows[settings_row_key(0)]
    record = SettingsRecord.from_row(row.value, row.version)
    settings = context.state.settings
    assert record.version == settings.version == version
    assert (record.change_id, record.tree) == (settings.change_id, settings.tree)


@then("controller: settings version {version:d} is in force")
def settings_version_in_force(context, version):
    assert context.state.settings.version == version, context.state.settings.version


@when("controller: the table answers each request only after 30 s")
def table_slow(context):
    context.table_service.is_slow = True


@then("controller: the answer came within {limit:d} s and names when to come back")
def answered_within(context, limit):
    assert context.took_s < limit, context.took_s
    names_retry(context)
