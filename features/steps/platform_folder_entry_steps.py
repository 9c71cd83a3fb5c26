"""Steps on entries of the list of servers that another program than a server has written."""

import json

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings, strategies
from platform_folder_store_stand_in import ROOT, wire

# isort: split
from server_entry_reader import read_server_entry
from store_versions import at

from indigoworks.rowstore.row import Row
from indigoworks.servers.errors import ServerEntryUnreadable

assert ROOT
OPEN_BRACKETS = "[" * 60_000
KEY = "i-1"
OTHER_KEY = "inventory-tool"
LEFT_OUT = "left out"
EXAMPLES = 1000

TEXTS = {
    "no bytes": b"",
    "bytes that are no text": b"\xff\xfe\x00",
    "an unfinished text": b'{"service": "shop", "addr',
    "a list": b"[]",
    "a number": b"7",
    "60,000 open brackets": OPEN_BRACKETS.encode(),
    "half of a character": b'{"service": "\\ud800"}',
}


def entry_fields():
    """Return the fields of a server's own entry, each as text."""
    return {
        "service": '"shop"',
        "address": '"10.0.0.9:8080"',
        "zone": '"z"',
        "version": '"v1"',
        "slots": "2",
        "state": '"ready"',
        wire("warmupLeft"): "0",
        "seq": "4",
        "born": "1790000000000",
    }


def entry_with(field, value):
    """Return an entry of which one field has another value, given as text."""
    fields = entry_fields()
    fields[field] = OPEN_BRACKETS if "open brackets" in value else value
    if value == LEFT_OUT:
        del fields[field]
    return ("{" + ", ".join(f'"{name}": {each}' for name, each in fields.items()) + "}").encode()


def read(value, key=KEY):
    return read_server_entry(Row("servers", "", key, value, at(12)))


@when("the platform folder reads a server entry with {field:w} {value}")
def step_read_field(context, field, value):
    assert read(entry_with("note", '"a field of a later platform"')).is_ok()
    context.platform_entry, context.platform_key = read(entry_with(field, value)), KEY


@when("the platform folder reads {text} as a server entry")
def step_read_text(context, text):
    context.platform_entry, context.platform_key = read(TEXTS[text]), KEY


@when("the platform folder reads a server entry under the key {key}")
def step_read_key(context, key):
    context.platform_key = json.loads(key)
    context.platform_entry = read(entry_with("note", "1"), context.platform_key)


@then("the platform folder's entry names no server, and the error tells the remedy")
def step_refused(context):
    error = context.platform_entry.unwrap_err()
    assert isinstance(error, ServerEntryUnreadable)
    assert ascii(context.platform_key)[1:-1] in error.message and error.remedy, error
    assert len(error.message) < 400, len(error.message)


def values():
    """Return a strategy for JSON values of any kind."""
    numbers = strategies.integers() | strategies.floats()
    plain = strategies.none() | strategies.booleans() | numbers | strategies.text()
    return strategies.recursive(
        plain | strategies.sampled_from(("ready", "draining", "10.0.0.9:80", "")),
        lambda inner: (
            strategies.lists(inner, max_size=3)
            | strategies.dictionaries(strategies.text(), inner, max_size=3)
        ),
        max_leaves=4,
    )


@then("the platform folder reads drawn entries without any other outcome")
def step_drawn(context):
    names = strategies.sampled_from([*entry_fields(), "note"])

    @settings(max_examples=EXAMPLES, deadline=None, derandomize=True, database=None)
    @for_all(
        strategies.dictionaries(names, values(), max_size=3),
        strategies.sets(names, max_size=1),
        strategies.binary(max_size=3),
        strategies.integers(0, 300),
    )
    def check(changed, missing, spoilt, where):
        fields = {name: json.loads(each) for name, each in entry_fields().items()} | changed
        for name in missing:
            fields.pop(name, None)
        value = json.dumps(fields).encode()
        result = read(value[:where] + spoilt + value[where + len(spoilt) :])
        if result.is_err():
            assert isinstance(result.unwrap_err(), ServerEntryUnreadable)
            return
        record = result.unwrap()
        assert isinstance(record.service, str) and record.service
        assert isinstance(record.zone, str)
        assert 0 < record.address.port < 65536 and record.address.host
        assert record.slots >= 1 and record.warm_up_left_s >= 0.0
        assert all(isinstance(each, int) for each in (record.started_ms, record.sequence))

    check()


@given("the platform folder store holds an entry of another writer with {field:w} {value}")
def step_holds(context, field, value):
    context.platform_stand_in.put("servers", "", OTHER_KEY, entry_with(field, value))


@when(
    "the platform folder store gets a new entry of another writer with {field:w} {value}, "
    "then a change of the server"
)
def step_gets(context, field, value):
    context.platform_stand_in.put("servers", "", "other-tool", entry_with(field, value))
    context.execute_steps("When the platform folder store gets a change of the server")
